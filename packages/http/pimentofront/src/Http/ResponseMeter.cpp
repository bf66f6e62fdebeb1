#include "pimentofront/Http.h"

namespace pimentofront {

const char *responseExcessName(ResponseExcess excess) {
  constexpr const char *Names[] = {"head_bytes", "head_time", "body_bytes",
                                   "unused_bytes", "unused_time"};
  return Names[static_cast<std::size_t>(excess)];
}

void ResponseMeter::begin() { *this = ResponseMeter(Limits); }

void ResponseMeter::recordHeadBegin(TimePoint now) {
  if (!HeadSince)
    HeadSince = now;
}

void ResponseMeter::recordHead(TimePoint now, bool used) {
  HeadSince.reset();
  if (!used && !UnusedSince)
    UnusedSince = now;
}

void ResponseMeter::recordBodyBytes(std::size_t n) {
  (UnusedSince ? UnusedBytes : BodyBytes) += n;
}

void ResponseMeter::ignore(TimePoint now) {
  Ignored = true;
  if (!UnusedSince)
    UnusedSince = now;
}

void ResponseMeter::recordUnusedEnd() {
  if (!Ignored)
    UnusedSince.reset();
}

std::optional<ResponseExcess> ResponseMeter::excess(TimePoint now) const {
  if (HeadBytes > Limits.MaxHeadBytes)
    return ResponseExcess::HeadBytes;
  if (BodyBytes > Limits.MaxBodyBytes)
    return ResponseExcess::BodyBytes;
  if (UnusedBytes > Limits.MaxUnusedBytes)
    return ResponseExcess::UnusedBytes;
  if (HeadSince && now >= *HeadSince + Limits.MaxHeadTime)
    return ResponseExcess::HeadTime;
  if (UnusedSince && now >= *UnusedSince + Limits.MaxUnusedTime)
    return ResponseExcess::UnusedTime;
  return std::nullopt;
}

} // namespace pimentofront
