/// \file
/// The runner stand-in's prefix cache: so many tokens, held by program, the
/// least recently used going first. Its events come late and with gaps.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace turmerichead::standin {

class prefix_cache {
public:
  /// Holds at most \p MaxTokens. Each event is published \p EventLagMs after
  /// it happened, and one in \p LoseEvery is never published (0: none).
  prefix_cache(std::int64_t MaxTokens, std::int64_t EventLagMs,
               std::uint64_t LoseEvery)
      : MaxTokens(MaxTokens), EventLagMs(EventLagMs), LoseEvery(LoseEvery) {}

  /// Tokens of the program's prefix that need no computing.
  std::int64_t held(const std::string &Program) const;

  /// Tokens of a prompt of \p PromptTokens that were computed here before and
  /// have been lost since.
  std::int64_t lost(const std::string &Program,
                    std::int64_t PromptTokens) const;

  /// Notes that the program's prefix of \p Tokens is now in memory.
  void store(const std::string &Program, std::int64_t Tokens,
             std::int64_t NowMs);

  /// Frees the program's memory; with \p Tree that of its sub-agents too.
  /// The answer is the count of tokens freed.
  std::int64_t release(const std::string &Program, bool Tree,
                       std::int64_t NowMs);

  nlohmann::json programs() const;
  nlohmann::json eventsAfter(std::uint64_t Since, std::int64_t NowMs) const;

private:
  struct row {
    std::int64_t Tokens = 0;
    std::uint64_t LastUse = 0;
  };
  struct event {
    std::uint64_t Number = 0;
    std::int64_t AtMs = 0;
    std::string Type;
    std::string Program;
    std::int64_t Tokens = 0;
  };

  void publish(const std::string &Type, const std::string &Program,
               std::int64_t Tokens, std::int64_t NowMs);
  void evictOldest(std::int64_t NowMs);

  std::int64_t MaxTokens;
  std::int64_t EventLagMs;
  std::uint64_t LoseEvery;
  std::int64_t Total = 0;
  std::uint64_t Uses = 0;
  std::uint64_t LastEvent = 0;
  std::map<std::string, row> Rows;
  std::map<std::string, std::int64_t> EverComputed;
  std::deque<event> Events;
};

} // namespace turmerichead::standin
