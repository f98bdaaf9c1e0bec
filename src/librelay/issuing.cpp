#include "turmerichead/relay_issuing.h"

#include <algorithm>
#include <cmath>

namespace turmerichead::relay {

namespace {

constexpr double MsPerSecond = 1000;
constexpr milliseconds ForgetFailuresAfter{10'000};

milliseconds roundUp(double Ms) {
  return milliseconds(static_cast<std::int64_t>(std::ceil(Ms)));
}

} // namespace

milliseconds request_pacer::wait(double PerSecond, double Burst,
                                 time_point Now) const {
  double Interval = MsPerSecond / PerSecond;
  double Early = Burst * Interval;
  return roundUp(std::max(NextMs - Early - static_cast<double>(Now.Ms), 0.0));
}

std::optional<milliseconds> request_pacer::take(double PerSecond, double Burst,
                                                milliseconds MaxWait,
                                                time_point Now) {
  milliseconds Wait = wait(PerSecond, Burst, Now);
  if (Wait > MaxWait)
    return std::nullopt;
  NextMs =
      std::max(NextMs, static_cast<double>(Now.Ms)) + MsPerSecond / PerSecond;
  return Wait;
}

double request_pacer::available(double PerSecond, double Burst,
                                time_point Now) const {
  double Ahead = std::max(NextMs - static_cast<double>(Now.Ms), 0.0);
  return 1 + Burst - Ahead * PerSecond / MsPerSecond;
}

void request_pacer::setAvailable(double Tokens, double PerSecond, double Burst,
                                 time_point Now) {
  double Missing = std::max(1 + Burst - Tokens, 0.0);
  NextMs = static_cast<double>(Now.Ms) + Missing * MsPerSecond / PerSecond;
}

bool member_avoidance::isAvoided(std::string_view Address,
                                 time_point Now) const {
  return avoidedUntil(Address) > Now;
}

time_point member_avoidance::avoidedUntil(std::string_view Address) const {
  auto Entry = Avoidances.find(Address);
  return Entry == Avoidances.end() ? time_point() : Entry->second.Until;
}

void member_avoidance::recordFailure(std::string_view Address, time_point Now) {
  std::erase_if(Avoidances, [&](const auto &Entry) {
    return Now - Entry.second.Until >= ForgetFailuresAfter;
  });
  avoidance &Avoidance = Avoidances[std::string(Address)];
  // Requests that were sent together fail together.
  if (Avoidance.Until > Now)
    return;
  Avoidance.Duration = std::clamp(Avoidance.Duration * 2, FirstTime, MaxTime);
  Avoidance.Until = Now + Avoidance.Duration;
}

void member_avoidance::recordReply(std::string_view Address) {
  auto Entry = Avoidances.find(Address);
  if (Entry != Avoidances.end())
    Avoidances.erase(Entry);
}

} // namespace turmerichead::relay
