#ifndef PIMENTOFRONT_HTTP_RESPONSE_METER_H
#define PIMENTOFRONT_HTTP_RESPONSE_METER_H

#include "pimentofront/Base.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace pimentofront {

/// \class ResponseLimits
/// \ingroup Http
/// \brief What is read at most from a backend server for one request.
struct ResponseLimits {
  /// Bytes before the body: the response's head, all interim responses
  /// (RFC 9110, section 15.2) and what precedes them.
  std::size_t MaxHeadBytes = std::size_t(64) << 10;
  /// Time from the first byte of a head, interim or final, to its end.
  Duration MaxHeadTime = std::chrono::seconds(5);
  /// Bytes of the body.
  std::size_t MaxBodyBytes = std::size_t(64) << 20;
  /// Bytes of responses that nobody receives: they belong to another request,
  /// or their head has already decided what happens.
  std::size_t MaxUnusedBytes = std::size_t(64) << 10;
  /// Time until the end of such a response. Opening another connection costs
  /// less than a longer wait.
  Duration MaxUnusedTime = std::chrono::seconds(1);
};

/// The limit that a response exceeded.
enum class ResponseExcess : std::uint8_t {
  HeadBytes,
  HeadTime,
  BodyBytes,
  UnusedBytes,
  UnusedTime,
};

/// \ingroup Http
/// \returns the name of \p excess in logs and metrics.
const char *responseExcessName(ResponseExcess excess);

/// \class ResponseMeter
/// \ingroup Http
/// \brief Measures what one request reads from its server against the limits.
/// Does no I/O.
///
/// The time of a body that somebody receives isn't limited here, since its
/// request has a deadline.
class ResponseMeter {
public:
  explicit ResponseMeter(const ResponseLimits &limits) : Limits(limits) {}

  /// A request is sent.
  void begin();
  /// Bytes arrived that precede a body: a head begins, unless one has begun.
  void recordHeadBegin(TimePoint now);
  /// \p n of these bytes have been parsed and completed no final head.
  void recordHeadBytes(std::size_t n) { HeadBytes += n; }
  /// An interim response has ended.
  void recordInterimEnd() { HeadSince.reset(); }
  /// The head of a final response is complete; \p used says whether somebody
  /// receives its body.
  void recordHead(TimePoint now, bool used);
  /// \p n bytes of a response arrived after its head.
  void recordBodyBytes(std::size_t n);
  /// Nobody receives the response, or what is still to come of it.
  void ignore(TimePoint now);
  /// A response that nobody receives has ended; another one follows.
  void recordUnusedEnd();

  /// \returns the limit that is exceeded, if any.
  std::optional<ResponseExcess> excess(TimePoint now) const;
  /// \returns the bytes read for the request.
  std::size_t totalBytes() const { return HeadBytes + BodyBytes + UnusedBytes; }

private:
  ResponseLimits Limits;
  std::size_t HeadBytes = 0;
  std::size_t BodyBytes = 0;
  std::size_t UnusedBytes = 0;
  /// Begin of an incomplete head.
  std::optional<TimePoint> HeadSince;
  /// Since when a response is read that nobody receives.
  std::optional<TimePoint> UnusedSince;
  bool Ignored = false;
};

} // namespace pimentofront

#endif
