#ifndef PIMENTOFRONT_FORWARD_BYTE_BUDGET_H
#define PIMENTOFRONT_FORWARD_BYTE_BUDGET_H

#include "pimentofront/Base.h"

#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

namespace pimentofront {

/// \class ByteBudgetOptions
/// \ingroup Forward
struct ByteBudgetOptions {
  /// Bytes that one entry may hold for callers and servers; 0 sets no bound.
  std::size_t Limit = 0;
  /// Counted for the answer of each admitted request besides its body: what is
  /// read from a server at once, and an event that isn't complete yet.
  std::size_t AnswerReserve = std::size_t(16) << 10;
  /// An answer with more unsent bytes than PauseAbove isn't read from its
  /// server any more until ResumeBelow or fewer are left. Above the limit,
  /// answers pause at ResumeBelow already.
  std::size_t PauseAbove = std::size_t(64) << 10;
  std::size_t ResumeBelow = std::size_t(16) << 10;
  /// Requests leave headroom for smaller ones (headroomBeside).
  bool KeepsHeadroom = false;
};

/// \class ByteBudget
/// \ingroup Forward
/// \brief Bounds the bytes that an entry holds: requests that wait or run,
/// parts of requests that are still arriving, and answers that their callers
/// haven't read.
///
/// Answers the load of callers that read slowly while others send large
/// prompts. A request that doesn't fit is refused before it is sent anywhere,
/// or takes the place of less urgent ones that weren't sent either. A request
/// that was sent keeps its place. Use ServerBytes for what one server holds.
class ByteBudget {
public:
  using Key = std::uint64_t;
  /// Urgency of a request whose route isn't known yet.
  static constexpr std::uint32_t LeastUrgent =
      std::numeric_limits<std::uint32_t>::max();
  struct Admission {
    bool Admitted = true;
    /// Requests that have to be refused in its place.
    std::vector<Key> Displaced;
  };

  explicit ByteBudget(const ByteBudgetOptions &options) : Options(options) {}

  /// Admits a request with a body of \p bytes, or not. One that was admitted
  /// before keeps its room and gets the new urgency.
  /// \param urgency 0 is the most urgent. Displaces requests that are less
  /// urgent: the least urgent first, among these the newest first, and none
  /// unless that makes enough room.
  Admission admit(TimePoint now, Key key, std::uint32_t urgency,
                  std::size_t bytes);
  /// A server may have the request now.
  void recordSent(Key key);
  /// The request has ended. Ignores a request that wasn't admitted.
  void release(TimePoint now, Key key);
  /// Bytes held outside of admitted requests' bodies: unfinished requests and
  /// unread answers.
  void recordConnections(std::size_t bytes) { Connections = bytes; }

  /// \returns whether the server of an answer with \p unsent bytes isn't to be
  /// read now.
  /// \param paused the decision of before.
  bool pauses(std::size_t unsent, bool paused) const;
  /// \returns when \p bytes can be expected to fit, by the pace at which
  /// requests have ended recently. At most MaxWait.
  Duration timeUntilRoom(TimePoint now, std::size_t bytes) const;

  bool bounded() const { return Options.Limit > 0; }
  std::size_t limit() const { return Options.Limit; }
  std::size_t held() const { return Requests + Connections; }
  std::size_t requestBytes() const { return Requests; }
  std::size_t connectionBytes() const { return Connections; }

  static constexpr Duration MaxWait = std::chrono::seconds(2);

private:
  struct Holder {
    std::uint32_t Urgency = 0;
    std::size_t Bytes = 0;
    bool Sent = false;
  };
  /// \returns the room that a request with a body of \p bytes needs, with the
  /// headroom that it has to leave.
  std::size_t neededFor(std::size_t bytes) const;
  bool fits(std::size_t bytes) const { return held() + bytes <= Options.Limit; }
  /// \returns the requests that a more urgent one that needs \p bytes
  /// displaces; none if that isn't enough.
  std::vector<Key> findDisplaced(std::uint32_t urgency,
                                 std::size_t bytes) const;
  /// \returns the recently released bytes that still count at \p now.
  double recentlyFreed(TimePoint now) const;

  ByteBudgetOptions Options;
  std::unordered_map<Key, Holder> Holders;
  std::size_t Requests = 0;
  std::size_t Connections = 0;
  /// Released bytes, decaying, as of FreedAt.
  double Freed = 0;
  TimePoint FreedAt;
};

} // namespace pimentofront

#endif
