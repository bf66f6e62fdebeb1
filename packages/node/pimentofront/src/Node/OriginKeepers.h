#ifndef PIMENTOFRONT_NODE_ORIGIN_KEEPERS_H
#define PIMENTOFRONT_NODE_ORIGIN_KEEPERS_H

#include "LinkWatch.h"

#include <optional>

namespace pimentofront {

/// \class OriginKeepers
/// \ingroup Node
/// \brief An entry's links to all replicas, which remember at which software
/// version streams began.
///
/// A link is opened when it is first needed, and again, after a delay, when it
/// has ended. A replica whose link has opened is told everything that is still
/// of use, because it may have restarted; until then it is told nothing. A
/// replica whose link has ended counts as lost until a message has arrived from
/// it again.
class OriginKeepers {
public:
  OriginKeepers(Transport &transport, const std::vector<std::string> &addresses)
      : Network(transport), Watch(SilenceTimeout) {
    setAddresses(addresses);
  }

  /// Sets the addresses of the replicas; does nothing if there are none.
  void setAddresses(const std::vector<std::string> &addresses);
  bool owns(LinkId link) const;
  void tell(TimePoint now, const std::vector<StreamOrigin> &origins);
  void ask(TimePoint now, const RequestId &stream);
  /// \param origins all that the replica should know.
  void onOpen(TimePoint now, LinkId link,
              const std::vector<StreamOrigin> &origins);
  /// \returns the address of the replica that has sent a message.
  /// \pre owns(link)
  std::string onReceived(LinkId link);
  void onClosed(TimePoint now, LinkId link);
  /// Closes links that haven't opened or don't deliver messages.
  /// \param needed whether the replicas have to know streams: all links are
  /// opened and checked. Otherwise links that were used once are opened again,
  /// but not checked.
  void tick(TimePoint now, bool needed);
  /// \returns the addresses of the replicas that aren't lost.
  std::vector<std::string> answering() const;
  /// \returns the addresses of the replicas that were lost since the last call.
  std::vector<std::string> takeLost() { return std::exchange(Lost, {}); }

private:
  /// Covers several round trips between regions.
  static constexpr Duration OpenTimeout = std::chrono::seconds(1);
  /// A replica answers at once, unless it waits for its disk or its processor.
  static constexpr Duration SilenceTimeout = std::chrono::milliseconds(1500);
  /// Time between two questions that check a link.
  static constexpr Duration CheckPeriod = std::chrono::seconds(1);
  static constexpr Duration MinRetryDelay = std::chrono::milliseconds(200);
  static constexpr Duration MaxRetryDelay = std::chrono::seconds(3);
  /// Maximum number of streams in a message.
  static constexpr std::size_t MaxOrigins = 1000;

  struct Keeper {
    std::optional<LinkId> Link;
    TimePoint OpenedAt;
    bool Open = false;
    bool Lost = false;
    TimePoint RetryAt;
    /// Doubles with each link that ends without a message.
    Duration RetryDelay = MinRetryDelay;
    TimePoint NextCheck;
  };
  using KeeperMap = std::map<std::string, Keeper>;

  KeeperMap::iterator find(LinkId link);
  /// Opens the links that are missing and whose delay is over.
  void connect(TimePoint now);
  void send(LinkId link, const std::vector<StreamOrigin> &origins);
  void check(TimePoint now, Keeper &keeper);
  void close(TimePoint now, LinkId link);

  Transport &Network;
  LinkWatch Watch;
  /// By address.
  KeeperMap Keepers;
  /// A link has been opened.
  bool Used = false;
  std::vector<std::string> Lost;
};

} // namespace pimentofront

#endif
