#include "wording_pvt.h"

#include "turmerichead/wall_time.h"

namespace turmerichead::pvt {

std::string joined(const std::vector<std::string> &Parts,
                   std::string_view Separator) {
  std::string Result;
  for (const std::string &Part : Parts) {
    if (!Result.empty())
      Result += Separator;
    Result += Part;
  }
  return Result;
}

std::string timeText(std::int64_t WallMs) {
  auto Text = utcText(WallMs);
  return Text ? *Text + " UTC" : "not known";
}

std::string lengthText(std::int64_t Ms) {
  constexpr std::int64_t Second = 1'000;
  constexpr std::int64_t Minute = 60 * Second;
  constexpr std::int64_t Hour = 60 * Minute;
  if (Ms < Second)
    return std::to_string(Ms) + " ms";
  if (Ms < 2 * Minute)
    return std::to_string(Ms / Second) + " s";
  if (Ms < 2 * Hour)
    return std::to_string(Ms / Minute) + " min";
  return std::to_string(Ms / Hour) + " h";
}

std::vector<std::pair<std::string, std::string>>
entryLines(const entry_report &Row) {
  const entry_counters &Recent = Row.Recent;
  const entry_counters &Total = Row.Total;
  const auto Text = [](std::uint64_t Count) { return std::to_string(Count); };
  std::vector<std::pair<std::string, std::string>> Lines;
  Lines.emplace_back("now", Text(Row.Running) + " running, " +
                                Text(Row.Overdue) + " overdue");
  Lines.emplace_back("recent", Text(Recent.ProgramsAccepted) + " accepted, " +
                                   Text(Recent.ProgramsFinished) +
                                   " finished, " + Text(Recent.FinishedInTime) +
                                   " in time, " + Text(Recent.OverLimit) +
                                   " over limit");
  std::vector<std::string> Refused;
  for (const auto &[Reason, Count] : Recent.RefusedBy)
    Refused.push_back(Reason + ' ' + Text(Count));
  if (!Refused.empty())
    Lines.emplace_back("refused", joined(Refused, ", "));
  Lines.emplace_back("answers", Text(Total.CallsAnswered) + " whole, " +
                                    Text(Total.CallsFailed) + " failed, " +
                                    Text(Total.OutcomeUnknown) + " unknown");
  Lines.emplace_back("broken", Text(Total.AnswersLost) + " lost, " +
                                   Text(Total.AnswersDoubled) + " doubled, " +
                                   Text(Total.AnswersMisdirected) +
                                   " misdirected, " + Text(Total.OutOfOrder) +
                                   " out of order");
  return Lines;
}

std::string changeText(const change_report &Row) {
  std::string Who = Row.Who.empty() ? "not named" : Row.Who;
  std::string Force =
      Row.EverywhereAtMs == 0
          ? "not yet in force everywhere"
          : "in force everywhere after " +
                lengthText(Row.EverywhereAtMs - Row.AppliedAtMs);
  return "by " + Who + ", " + timeText(Row.AppliedAtMs) + ", " + Force;
}

std::string unknownText(const host_line &Host) {
  if (Host.AgeMs < 0)
    return "not heard from";
  return "heard " + lengthText(Host.AgeMs) + " ago";
}

} // namespace turmerichead::pvt
