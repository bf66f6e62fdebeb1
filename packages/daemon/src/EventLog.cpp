#include "EventLog.h"

#include "LogRateLimiter.h"
#include "PipeAppender.h"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace pimentofront {
namespace {

/// \returns \p text as a JSON string, with invalid UTF-8 replaced.
std::string quoted(const std::string &text) {
  return nlohmann::json(text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

log4cplus::LogLevel levelOf(LogLevel level) {
  switch (level) {
  case LogLevel::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case LogLevel::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case LogLevel::Warn:
    return log4cplus::WARN_LOG_LEVEL;
  case LogLevel::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

const char *nameOf(LogLevel level) {
  constexpr const char *Names[] = {"debug", "info", "warn", "error"};
  return Names[static_cast<std::size_t>(level)];
}

} // namespace

LogField::LogField(const char *name, const std::string &value)
    : Name(name), Value(quoted(value)) {}
LogField::LogField(const char *name, const char *value)
    : LogField(name, std::string(value)) {}
LogField::LogField(const char *name, std::uint64_t value)
    : Name(name), Value(std::to_string(value)) {}
LogField::LogField(const char *name, double value)
    : Name(name), Value(std::to_string(value)) {}

struct EventLog::Impl {
  EventLoop &Loop;
  HybridClock &Clock;
  std::string Prefix;
  log4cplus::helpers::Properties Properties;
  log4cplus::Initializer Library;
  log4cplus::Logger Logger;
  /// The appender for standard output; null when lines go to a file.
  PipeAppender *Pipe = nullptr;
  bool Console = false;
  LogRateLimiter RateLimiter;
  std::uint64_t DroppedReported = 0;
  std::unique_ptr<Timer> ReportTimer;

  void configure() {
    log4cplus::PropertyConfigurator(Properties).configure();
    Logger = log4cplus::Logger::getRoot();
    if (!Console)
      return;
    Pipe = new PipeAppender(STDOUT_FILENO);
    Logger.addAppender(log4cplus::SharedAppenderPtr(Pipe));
  }

  void writeLine(LogLevel level, const char *event,
                 std::initializer_list<LogField> fields) {
    const std::uint64_t wall = Loop.wallMilliseconds();
    std::string line = "{\"hlc\":" + std::to_string(Clock.tick(wall)) +
                       ",\"ms\":" + std::to_string(wall) + Prefix +
                       ",\"level\":\"" + nameOf(level) + "\",\"event\":\"" +
                       event + "\"";
    for (const LogField &it : fields)
      line += std::string(",\"") + it.Name + "\":" + it.Value;
    Logger.log(levelOf(level), line + "}");
  }

  /// Logs how many lines were omitted or dropped, so that a gap in the log is
  /// not mistaken for a time without events.
  void reportOmissions() {
    for (const auto &[event, n] : RateLimiter.takeOmitted())
      writeLine(LogLevel::Warn, "lines_left_out",
                {{"of", event}, {"count", n}});
    const std::uint64_t dropped = Pipe ? Pipe->dropped() : 0;
    if (dropped == DroppedReported)
      return;
    writeLine(LogLevel::Warn, "lines_dropped",
              {{"why", "standard output is full"},
               {"count", dropped - DroppedReported}});
    DroppedReported = dropped;
  }
};

EventLog::EventLog(const Settings &settings, EventLoop &loop,
                   HybridClock &clock)
    : State(new Impl{loop, clock}) {
  State->Prefix = ",\"host\":" + quoted(settings.Host.str()) +
                  ",\"zone\":" + quoted(settings.Zone.str());
  auto &properties = State->Properties;
  // log4cplus starts a thread pool; its minimum is one thread, which stays
  // idle.
  properties.setProperty("log4cplus.threadPoolSize", "1");
  State->Console = settings.LogFile == "-";
  properties.setProperty("log4cplus.rootLogger",
                         settings.LogLevel + (State->Console ? "" : ", out"));
  if (!State->Console) {
    properties.setProperty("log4cplus.appender.out", "log4cplus::FileAppender");
    properties.setProperty("log4cplus.appender.out.File", settings.LogFile);
    properties.setProperty("log4cplus.appender.out.Append", "true");
  }
  properties.setProperty("log4cplus.appender.out.ImmediateFlush", "true");
  properties.setProperty("log4cplus.appender.out.layout",
                         "log4cplus::PatternLayout");
  properties.setProperty("log4cplus.appender.out.layout.ConversionPattern",
                         "%m%n");
  State->configure();
  constexpr Duration ReportPeriod = std::chrono::seconds(1);
  State->ReportTimer =
      State->Loop.every(ReportPeriod, [this] { State->reportOmissions(); });
}

EventLog::~EventLog() = default;

void EventLog::write(LogLevel level, const char *event,
                     std::initializer_list<LogField> fields) {
  if (!State->Logger.isEnabledFor(levelOf(level)))
    return;
  // Warnings and errors are never rate limited.
  if (level < LogLevel::Warn &&
      !State->RateLimiter.allow(State->Loop.now(), event))
    return;
  State->writeLine(level, event, fields);
}

std::uint64_t EventLog::linesDropped() const {
  return State->Pipe ? State->Pipe->dropped() : 0;
}

void EventLog::reopen() {
  log4cplus::Logger::shutdown();
  State->configure();
}

} // namespace pimentofront
