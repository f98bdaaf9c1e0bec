#include "turmerichead/log.h"

#include "turmerichead/clock.h"

#include <log4cplus/appender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <poll.h>
#include <unistd.h>

namespace turmerichead::log {

namespace {

// log4cplus has no JSON layout. The message is already a JSON object, so this
// layout writes it unchanged, one object per line, to the audit file.
class line_layout : public log4cplus::Layout {
public:
  void
  formatAndAppend(log4cplus::tostream &Output,
                  const log4cplus::spi::InternalLoggingEvent &Event) override {
    Output << Event.getMessage() << '\n';
  }
};

/// Writes lines to standard output without blocking. Lines that cannot be
/// written immediately, or that exceed the rate limit, are dropped; a later
/// line reports their number.
class bounded_appender : public log4cplus::Appender {
public:
  explicit bounded_appender(int Descriptor) : Descriptor(Descriptor) {}
  ~bounded_appender() override { destructorImpl(); }

  void close() override {}

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    bool Urgent = Event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL;
    if ((!Urgent && !takeToken()) || !hasRoom()) {
      ++LeftOut;
      return;
    }
    if (LeftOut > 0) {
      writeLine(leftOutLine(LeftOut));
      LeftOut = 0;
    }
    writeLine(Event.getMessage());
  }

private:
  // Writes of at most this size to a pipe are atomic.
  static constexpr std::size_t MaxLineBytes = 4096;
  static constexpr double LinesPerSecond = 400;
  static constexpr double LinesAtOnce = 2000;

  bool hasRoom() const {
    pollfd Poll{Descriptor, POLLOUT, 0};
    return poll(&Poll, 1, 0) == 1 && (Poll.revents & POLLOUT) != 0;
  }

  bool takeToken() {
    constexpr double MsPerSecond = 1000;
    time_point Now = steadyNow();
    double Seconds =
        static_cast<double>((Now - FilledAt).count()) / MsPerSecond;
    Tokens = std::min(LinesAtOnce, Tokens + Seconds * LinesPerSecond);
    FilledAt = Now;
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

  void writeLine(std::string Line) {
    // A truncated line still ends with a newline.
    if (Line.size() >= MaxLineBytes)
      Line.resize(MaxLineBytes - 1);
    Line += '\n';
    if (write(Descriptor, Line.data(), Line.size()) < 0)
      ++LeftOut;
  }

  static std::string leftOutLine(std::uint64_t Count);

  int Descriptor;
  std::uint64_t LeftOut = 0;
  double Tokens = LinesAtOnce;
  time_point FilledAt = steadyNow();
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

std::string bounded_appender::leftOutLine(std::uint64_t Count) {
  nlohmann::ordered_json Line;
  Line["time_ms"] = wallNowMs();
  Line["level"] = "warn";
  Line["host"] = hostName();
  Line["event"] = "log lines left out";
  Line["count"] = Count;
  return Line.dump();
}

} // namespace

void open(std::string_view Host, std::string_view Level,
          std::string_view AuditFile, int Descriptor) {
  static log4cplus::Initializer Initializer;
  hostName() = Host;
  log4cplus::SharedAppenderPtr Console(new bounded_appender(Descriptor));
  mainLogger().removeAllAppenders();
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
