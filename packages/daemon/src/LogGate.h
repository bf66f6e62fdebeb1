#ifndef PIMENTOFRONT_DAEMON_LOG_GATE_H
#define PIMENTOFRONT_DAEMON_LOG_GATE_H

#include "pimentofront/Base.h"

#include <map>
#include <string>

namespace pimentofront {

/// \class LogGateOptions
struct LogGateOptions {
  /// Lines of one event that may come together, after a quiet time.
  double Burst = 40;
  /// Lines of one event a second in the long run. A line costs some twenty
  /// microseconds: with ten busy events this is 0.4% of a core.
  double PerSecond = 20;
};

/// \class LogGate
/// \brief Bounds the lines of each event by a token bucket of its own, and
/// counts what it leaves out.
class LogGate {
public:
  LogGate() : LogGate(LogGateOptions()) {}
  explicit LogGate(const LogGateOptions &options) : Options(options) {}

  /// \returns whether a line of \p event may be written now.
  bool take(TimePoint now, const std::string &event);
  /// \returns how many lines of each event were left out since the last call.
  std::map<std::string, std::uint64_t> takeLeftOut();

private:
  struct Bucket {
    double Tokens = 0;
    TimePoint At;
    std::uint64_t LeftOut = 0;
  };
  LogGateOptions Options;
  std::map<std::string, Bucket> Buckets;
};

} // namespace pimentofront

#endif
