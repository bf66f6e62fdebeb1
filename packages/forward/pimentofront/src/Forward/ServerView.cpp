#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {

const char *reportedRoomName(ReportedRoom room) {
  constexpr const char *Names[] = {"unknown", "free", "full"};
  return Names[static_cast<std::size_t>(room)];
}

std::uint32_t backoffFactor(std::uint32_t failures) {
  constexpr std::uint32_t MaxDoublings = 4;
  return 1U << std::min(failures, MaxDoublings);
}

bool hasLoadReport(TimePoint now, const ServerSetOptions &options,
                   const ServerView &server) {
  return now < server.LoadReportedAt + options.LoadLifetime;
}

} // namespace pimentofront
