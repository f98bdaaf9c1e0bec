#include "turmerichead/log.h"

#include "turmerichead/clock.h"

#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

#include <memory>

namespace turmerichead::log {

namespace {

// log4cplus ships no JSON layout. The message is a JSON object already, so
// this layout writes it as it stands, one a line.
class line_layout : public log4cplus::Layout {
public:
  void
  formatAndAppend(log4cplus::tostream &Output,
                  const log4cplus::spi::InternalLoggingEvent &Event) override {
    Output << Event.getMessage() << '\n';
  }
};

std::string &hostName() {
  static std::string Name;
  return Name;
}

log4cplus::Logger &mainLogger() {
  static log4cplus::Logger Logger = log4cplus::Logger::getInstance("main");
  return Logger;
}

log4cplus::Logger &auditLogger() {
  static log4cplus::Logger Logger = log4cplus::Logger::getInstance("audit");
  return Logger;
}

void write(log4cplus::Logger &Logger, log4cplus::LogLevel Level,
           std::string_view LevelName, std::string_view Event,
           const nlohmann::json &Fields) {
  if (!Logger.isEnabledFor(Level))
    return;
  nlohmann::ordered_json Line;
  Line["time_ms"] = wallNowMs();
  Line["level"] = LevelName;
  Line["host"] = hostName();
  Line["event"] = Event;
  for (const auto &[Key, Value] : Fields.items())
    Line[Key] = Value;
  std::string Text =
      Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  Logger.forcedLog(Level, Text, nullptr, -1, nullptr);
}

} // namespace

void open(std::string_view Host, std::string_view Level,
          std::string_view AuditFile) {
  static log4cplus::Initializer Initializer;
  hostName() = Host;
  log4cplus::SharedAppenderPtr Console(
      new log4cplus::ConsoleAppender(true, true));
  Console->setLayout(std::make_unique<line_layout>());
  mainLogger().addAppender(Console);
  mainLogger().setAdditivity(false);
  auditLogger().setAdditivity(false);
  log4cplus::LogLevel Threshold = log4cplus::INFO_LOG_LEVEL;
  if (Level == "debug")
    Threshold = log4cplus::DEBUG_LOG_LEVEL;
  if (Level == "warn")
    Threshold = log4cplus::WARN_LOG_LEVEL;
  if (Level == "error")
    Threshold = log4cplus::ERROR_LOG_LEVEL;
  mainLogger().setLogLevel(Threshold);
  auditLogger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
  if (AuditFile.empty()) {
    auditLogger().addAppender(Console);
    return;
  }
  log4cplus::SharedAppenderPtr File(new log4cplus::FileAppender(
      std::string(AuditFile), std::ios_base::app, true));
  File->setLayout(std::make_unique<line_layout>());
  auditLogger().addAppender(File);
}

void debug(std::string_view Event, const nlohmann::json &Fields) {
  write(mainLogger(), log4cplus::DEBUG_LOG_LEVEL, "debug", Event, Fields);
}

void info(std::string_view Event, const nlohmann::json &Fields) {
  write(mainLogger(), log4cplus::INFO_LOG_LEVEL, "info", Event, Fields);
}

void warn(std::string_view Event, const nlohmann::json &Fields) {
  write(mainLogger(), log4cplus::WARN_LOG_LEVEL, "warn", Event, Fields);
}

void error(std::string_view Event, const nlohmann::json &Fields) {
  write(mainLogger(), log4cplus::ERROR_LOG_LEVEL, "error", Event, Fields);
}

void audit(std::string_view Event, const nlohmann::json &Fields) {
  write(auditLogger(), log4cplus::INFO_LOG_LEVEL, "audit", Event, Fields);
}

} // namespace turmerichead::log
