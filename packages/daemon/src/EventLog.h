#ifndef PIMENTOFRONT_DAEMON_EVENT_LOG_H
#define PIMENTOFRONT_DAEMON_EVENT_LOG_H

#include "Settings.h"
#include "pimentofront/Net.h"

#include <initializer_list>

namespace pimentofront {

/// \class LogField
/// \brief One named value of an event.
struct LogField {
  LogField(const char *name, const std::string &value);
  LogField(const char *name, const char *value);
  LogField(const char *name, std::uint64_t value);
  LogField(const char *name, double value);

  const char *Name;
  /// In JSON.
  std::string Value;
};

enum class LogLevel : std::uint8_t { Debug, Info, Warn, Error };

/// \class EventLog
/// \brief Events as JSON lines, by log4cplus. Each carries the process, its
/// availability zone and a hybrid logical time, so that the lines of all
/// processes merge into one time line. Lines below warnings are bounded for
/// each event (LogGate), and standard output is never waited for.
class EventLog {
public:
  /// \param clock stamps the events; outlives the log.
  EventLog(const Settings &settings, EventLoop &loop, HybridClock &clock);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  void write(LogLevel level, const char *event,
             std::initializer_list<LogField> fields);
  /// \returns lines that found standard output full.
  std::uint64_t linesDropped() const;
  /// Opens the file anew, after it was moved away.
  void reopen();

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace pimentofront

#endif
