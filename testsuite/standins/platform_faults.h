/// \file
/// What the platform stand-in does wrong when told to, how often it was
/// called, and its rate limits.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace turmerichead::standin {

/// How calls are treated.
enum class fault_mode {
  Ok,
  Down,        ///< The connection is closed without an answer.
  Slow,        ///< Each call is carried out after a delay.
  LoseAnswers, ///< A write takes effect, and its answer is lost.
  LateAnswers  ///< A write takes effect, and its answer comes after a delay.
};

/// The fault in force for one host, or for all.
struct fault {
  fault_mode Mode = fault_mode::Ok;
  std::int64_t DelayMs = 0;
  int Count = -1; ///< Calls still to be hit; -1 for no end.
};

/// The faults by host. An order for one host goes before one for all.
class platform_faults {
public:
  /// Takes over an order such as {"mode":"slow","delay_ms":50,"host":"a1"}.
  /// Answers false where the mode is not known.
  bool apply(const nlohmann::json &Order);

  /// The fault that hits this call of \p Host, and counts it as hit.
  fault take(const std::string &Host, bool IsWrite);

private:
  std::map<std::string, fault> ByHost;
};

/// Counts calls by host and verb.
class call_counts {
public:
  void add(const std::string &Host, const std::string &Verb);
  nlohmann::json toJson() const;

private:
  std::map<std::string, std::map<std::string, std::uint64_t>> Counts;
};

/// Allows so many calls a second, with bursts of one second's worth. A rate
/// of 0 allows all.
class rate_limit {
public:
  explicit rate_limit(double PerSecond)
      : PerSecond(PerSecond), Tokens(PerSecond) {}
  bool allow(std::int64_t NowMs);

private:
  double PerSecond;
  double Tokens;
  std::int64_t LastMs = 0;
};

} // namespace turmerichead::standin
