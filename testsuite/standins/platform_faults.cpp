#include "platform_faults.h"

#include <algorithm>

namespace turmerichead::standin {

bool platform_faults::apply(const nlohmann::json &Order) {
  static const std::map<std::string, fault_mode> Modes = {
      {"ok", fault_mode::Ok},
      {"down", fault_mode::Down},
      {"slow", fault_mode::Slow},
      {"lose_answers", fault_mode::LoseAnswers},
      {"late_answers", fault_mode::LateAnswers},
  };
  const auto Mode = Modes.find(Order.value("mode", std::string()));
  if (Mode == Modes.end())
    return false;
  const std::string Host = Order.value("host", std::string());
  if (Host.empty())
    ByHost.clear();
  ByHost[Host] = {Mode->second, Order.value("delay_ms", std::int64_t{0}),
                  Order.value("count", -1)};
  return true;
}

fault platform_faults::take(const std::string &Host, bool IsWrite) {
  auto Found = ByHost.find(Host);
  if (Found == ByHost.end())
    Found = ByHost.find("");
  if (Found == ByHost.end())
    return {};
  fault &Fault = Found->second;
  const bool WritesOnly = Fault.Mode == fault_mode::LoseAnswers ||
                          Fault.Mode == fault_mode::LateAnswers;
  if (Fault.Count == 0 || (WritesOnly && !IsWrite))
    return {};
  if (Fault.Count > 0)
    --Fault.Count;
  return Fault;
}

void call_counts::add(const std::string &Host, const std::string &Verb) {
  ++Counts[Host][Verb];
}

nlohmann::json call_counts::toJson() const {
  std::map<std::string, std::uint64_t> Verbs;
  std::uint64_t Total = 0;
  for (const auto &[Host, Row] : Counts) {
    for (const auto &[Verb, Count] : Row) {
      Verbs[Verb] += Count;
      Total += Count;
    }
  }
  return {{"hosts", Counts}, {"verbs", Verbs}, {"total", Total}};
}

bool rate_limit::allow(std::int64_t NowMs) {
  if (PerSecond <= 0)
    return true;
  const double Earned =
      PerSecond * static_cast<double>(NowMs - LastMs) / 1000.0;
  Tokens = std::min(PerSecond, Tokens + Earned);
  LastMs = NowMs;
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

} // namespace turmerichead::standin
