/// \file
/// The engine of the runner stand-in: continuous batching over so many slots,
/// prefill and decode at a set pace, and answers that follow from the
/// question alone.
#pragma once

#include "http_server.h"
#include "prefix_cache.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmerichead::standin {

/// The pace and sizes of an engine.
struct engine_settings {
  std::size_t Slots = 16;
  double MsPerToken = 1;
  double PrefillUsPerToken = 20;
  std::int64_t AnswerTokens = 24; ///< Where no min_tokens asks for more.
  std::int64_t CacheTokens = 200000;
  std::int64_t EventLagMs = 200;
  std::uint64_t LoseEvery = 7;
  std::int64_t LoadLagMs = 100;
  bool ChecksFencing = false;
};

/// One request in the engine.
struct generation {
  explicit generation(const exchange &Call) : Call(Call) {}

  exchange Call;
  std::string Program;
  std::string Key; ///< "program#call", by which executions are counted.
  bool Stream = false;
  std::vector<std::string> Tokens; ///< The whole answer.
  std::size_t Sent = 0;
  std::int64_t PromptTokens = 0;
  std::int64_t ReusedTokens = 0;
  double PrefillLeftMs = 0;
  double DecodeMs = 0;
  bool Cut = false; ///< The answer ends at max_tokens.
  std::string Text;
};

class runner_engine {
public:
  explicit runner_engine(engine_settings Settings);

  void onCall(const exchange &Call);

  /// Moves all running requests forward to \p NowMs.
  void tick(std::int64_t NowMs);

  /// Takes the snapshot that `GET /load` shows until the next one.
  void sampleLoad();

private:
  void onCompletion(const exchange &Call);
  void onControl(const exchange &Call);
  void onOrder(const exchange &Call);
  void onCache(const exchange &Call);
  nlohmann::json stats() const;
  void admitWaiting();
  void begin(generation Row);
  bool advance(generation &Row, double ElapsedMs);
  void emitToken(generation &Row);
  void finish(generation &Row);

  engine_settings Settings;
  prefix_cache Cache;
  std::deque<generation> Waiting;
  std::vector<generation> Running;
  std::int64_t LastTickMs = 0;
  nlohmann::json Load;

  std::string DieOn;
  bool Hang = false;
  std::int64_t DieAfterTokens = -1;
  std::int64_t BreakAfterTokens = -1;

  std::map<std::string, int> Executions;
  std::vector<std::string> Sequence;
  std::int64_t TokensMade = 0;
  std::int64_t PrefillComputed = 0;
  std::int64_t PrefillAgain = 0;
  std::int64_t Cancelled = 0;
  std::int64_t HighestFencingToken = 0;
  int OrdersTaken = 0;
  int OrdersRefused = 0;
};

} // namespace turmerichead::standin
