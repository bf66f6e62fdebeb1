#ifndef PIMENTOFRONT_DAEMON_EVENT_LOG_H
#define PIMENTOFRONT_DAEMON_EVENT_LOG_H

#include "Settings.h"
#include "pimentofront/Net.h"

#include <initializer_list>

namespace pimentofront {

/// \class LogField
/// \brief A named field of an event.
struct LogField {
  LogField(const char *name, const std::string &value);
  LogField(const char *name, const char *value);
  LogField(const char *name, std::uint64_t value);
  LogField(const char *name, double value);

  const char *Name;
  /// Encoded as JSON.
  std::string Value;
};

enum class LogLevel : std::uint8_t { Debug, Info, Warn, Error };

/// \class EventLog
/// \brief Writes events as JSON lines through log4cplus. Each line has the
/// host, its availability zone and a hybrid logical timestamp, so that the
/// lines of all processes can be merged into one time line. Lines below the
/// level Warn are rate limited for each event (LogRateLimiter). A full standard
/// output never blocks the process: the line is dropped and counted.
class EventLog {
public:
  /// \param clock source of the timestamps; must outlive the log.
  EventLog(const Settings &settings, EventLoop &loop, HybridClock &clock);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  void write(LogLevel level, const char *event,
             std::initializer_list<LogField> fields);
  /// \returns the number of lines dropped because standard output was full.
  std::uint64_t linesDropped() const;
  /// Reopens the log file, after log rotation has moved it away.
  void reopen();

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace pimentofront

#endif
