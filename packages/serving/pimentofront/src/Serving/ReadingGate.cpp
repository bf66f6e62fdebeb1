#include "pimentofront/Serving.h"

namespace pimentofront {

bool ReadingGate::isOpen(TimePoint now, const FirstEventModel &model,
                         std::uint32_t urgency) const {
  return model.readingTime(model.unreadTokens(now, urgency)) <= LowMark;
}

} // namespace pimentofront
