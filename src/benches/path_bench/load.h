/// \file
/// Programs that call through the hosts, or a runner directly, and what they
/// measured.
#pragma once

#include "fleet.h"
#include "samples.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace turmerichead::bench {

/// How the calls of a load look.
struct load_settings {
  std::string Entry;
  std::string Token;
  std::string Model;
  int AnswerTokens = 24;
  int PromptWords = 40;
  milliseconds CallTimeout{60000};
};

/// What the calls of a load measured. Times are in milliseconds.
struct load_result {
  samples FirstToken;        ///< Of calls after a program's first.
  samples FirstTokenOfFirst; ///< Of programs' first calls.
  samples Gap;               ///< Between tokens.
  std::uint64_t Answered = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Tokens = 0;
  double Seconds = 0;
  std::map<std::string, std::uint64_t> Errors; ///< By status or reason.
};

/// Runs calls on the main loop.
class load {
public:
  load(http_client &Http, const fleet &Fleet, load_settings Settings)
      : Http(Http), Fleet(Fleet), Settings(std::move(Settings)) {}

  /// \p Programs programs at once, each making \p Turns calls one after
  /// another, through an entry host that does not hold them; or, where
  /// \p Runners is not empty, to the runners directly.
  load_result closedLoop(int Programs, int Turns,
                         const std::vector<std::string> &Runners);

  /// New programs of \p Turns calls each, so that \p CallsPerSecond calls
  /// begin in each second, for \p Length.
  load_result openLoop(double CallsPerSecond, int Turns, milliseconds Length);

private:
  struct program {
    std::string Id;
    std::string Url;
    int Turn = 0;
    int Turns = 0;
    bool Direct = false;
  };

  void start(const std::shared_ptr<program> &Program);
  void ended(const std::shared_ptr<program> &Program, bool Good);
  std::shared_ptr<program> newProgram(int Turns);

  http_client &Http;
  const fleet &Fleet;
  load_settings Settings;
  load_result Result;
  int Running = 0;
  std::uint64_t Serial = 0;
};

} // namespace turmerichead::bench
