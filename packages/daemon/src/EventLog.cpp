#include "EventLog.h"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

namespace pimentofront {
namespace {

/// \returns \p text as a JSON string; what isn't UTF-8 is replaced.
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
  const EventLoop &Loop;
  HybridClock &Clock;
  std::string Prefix;
  log4cplus::helpers::Properties Properties;
  log4cplus::Initializer Library;
  log4cplus::Logger Logger;

  void configure() {
    log4cplus::PropertyConfigurator(Properties).configure();
    Logger = log4cplus::Logger::getRoot();
  }
};

EventLog::EventLog(const Settings &settings, const EventLoop &loop,
                   HybridClock &clock)
    : State(new Impl{loop, clock}) {
  State->Prefix = ",\"host\":" + quoted(settings.Host.str()) +
                  ",\"zone\":" + quoted(settings.Zone.str());
  auto &properties = State->Properties;
  // The library starts threads of its own; one, which idles, is the least.
  properties.setProperty("log4cplus.threadPoolSize", "1");
  properties.setProperty("log4cplus.rootLogger", settings.LogLevel + ", out");
  const bool console = settings.LogFile == "-";
  properties.setProperty("log4cplus.appender.out",
                         console ? "log4cplus::ConsoleAppender"
                                 : "log4cplus::FileAppender");
  if (!console) {
    properties.setProperty("log4cplus.appender.out.File", settings.LogFile);
    properties.setProperty("log4cplus.appender.out.Append", "true");
  }
  properties.setProperty("log4cplus.appender.out.ImmediateFlush", "true");
  properties.setProperty("log4cplus.appender.out.layout",
                         "log4cplus::PatternLayout");
  properties.setProperty("log4cplus.appender.out.layout.ConversionPattern",
                         "%m%n");
  State->configure();
}

EventLog::~EventLog() = default;

void EventLog::write(LogLevel level, const char *event,
                     std::initializer_list<LogField> fields) {
  if (!State->Logger.isEnabledFor(levelOf(level)))
    return;
  const std::uint64_t wall = State->Loop.wallMilliseconds();
  std::string line = "{\"hlc\":" + std::to_string(State->Clock.tick(wall)) +
                     ",\"ms\":" + std::to_string(wall) + State->Prefix +
                     ",\"level\":\"" + nameOf(level) + "\",\"event\":\"" +
                     event + "\"";
  for (const LogField &it : fields)
    line += std::string(",\"") + it.Name + "\":" + it.Value;
  State->Logger.log(levelOf(level), line + "}");
}

void EventLog::reopen() {
  log4cplus::Logger::shutdown();
  State->configure();
}

} // namespace pimentofront
