#include "pimentofront/Forward.h"

namespace pimentofront {

const char *upstreamEndingName(UpstreamEnding ending) {
  constexpr const char *Names[] = {"complete", "not_sent", "broke_off",
                                   "rejected", "closed"};
  return Names[static_cast<std::size_t>(ending)];
}

} // namespace pimentofront
