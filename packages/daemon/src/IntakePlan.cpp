#include "IntakePlan.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// Parts of the descriptors: for connections at the only port where callers
/// come; for those at each of two ports where callers, operators or servers
/// come, or where only the latter do; for those at a port where only health and
/// metrics are asked for; and for links that aren't identified.
constexpr double CallersShare = 0.5;
constexpr double CallsShare = 1.0 / 3;
constexpr double ProbesShare = 1.0 / 16;
constexpr double UnidentifiedShare = 1.0 / 16;
/// Connections take at most one in so many bytes of the memory, beside what is
/// counted of the requests that arrive on them.
constexpr std::size_t ConnectionsPart = 8;
/// Memory of a connection with what one read of it brings.
constexpr std::size_t ConnectionBytes = std::size_t(16) << 10;
/// Calls take at most one in so many bytes of the memory.
constexpr std::size_t HttpPart = 8;
constexpr std::size_t MinHttpBytes = std::size_t(8) << 20;

std::size_t shareOf(std::size_t n, double share) {
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(static_cast<double>(n) * share));
}

} // namespace

IntakeLimits planIntake(const IntakeOptions &options) {
  const std::size_t byMemory =
      options.MemoryBytes / ConnectionsPart / ConnectionBytes;
  const auto connections = [&](double share) {
    return std::min(shareOf(options.Descriptors, share), byMemory);
  };
  const bool called = options.ServesCalls || options.ServesOperators;
  const double callers = called ? CallsShare : CallersShare;
  const double http = !called                                    ? ProbesShare
                      : options.ServesCalls && !options.Forwards ? CallersShare
                                                                 : CallsShare;
  return {.CallerConnections = options.Forwards ? connections(callers) : 0,
          .HttpConnections = connections(http),
          .HttpBytes = std::max(options.MemoryBytes / HttpPart, MinHttpBytes),
          .UnidentifiedPeers = connections(UnidentifiedShare)};
}

} // namespace pimentofront
