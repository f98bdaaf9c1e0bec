/// \file
/// A stand-in for a model engine at its interface: continuous batching,
/// prefill and decode cost, and a prefix cache of limited size.
///
/// It is a fluid model, not a simulator of a cluster: between two events each
/// sequence makes progress at a constant rate.
#pragma once

#include "turmerichead/sched_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bench {

using turmerichead::sched::token_count;

/// Constants of an engine.
///
/// They follow from the arithmetic of a model with 70 billion parameters and
/// grouped-query attention on four accelerators with 80 GB each, which the
/// target's sizes (8,200 accelerators for 2,000 runners) suggest:
/// - Weights of 2 bytes are 140 GB. Reading them at 4 x 2.3 TB/s takes 15 ms,
///   the base of a decode step.
/// - A cached token takes 80 layers x 8 heads x 128 x 2 x 2 bytes = 328 kB.
///   Reading 6,000 of them for one sequence adds 0.2 ms to a step.
/// - Prefill needs 2 x 70e9 operations a token; 4 x 350e12 useful ones a
///   second give 0.1 ms a token.
/// - 320 GB less weights and a tenth for the rest leave about 150 GB, which
///   is 450,000 tokens.
/// - Copying cache over 100 Gbit/s moves 328 kB in 0.026 ms.
struct engine_constants {
  int Slots = 16;
  double StepBaseMs = 15;
  double StepPerSequenceMs = 0.2;
  double PrefillMsPerToken = 0.1;
  token_count CacheTokens = 450'000;
  double MoveMsPerToken = 0.026;
  double MoveFixedMs = 20;
  /// Part of its time that an engine gives to prefill while it decodes
  /// (chunked prefill).
  double PrefillShare = 0.5;

  /// Engine time of one output token with a full batch.
  double decodeMsPerToken() const {
    return (StepBaseMs + StepPerSequenceMs * Slots) / Slots;
  }
};

/// A request as the engine sees it.
struct engine_request {
  std::uint64_t Id = 0;
  std::string Program;
  std::string Entry; ///< Names the prefix that its programs share.
  token_count SharedPrefix = 0;
  token_count PromptTokens = 0;
  token_count OutputTokens = 0;
};

/// A finished request.
struct engine_result {
  std::uint64_t Id = 0;
  token_count CachedTokens = 0;
  double FirstTokenMs = 0; ///< When the prefill was done.
};

/// A program's prefix that went out of the cache.
struct eviction {
  std::string Program;
};

class engine {
public:
  explicit engine(const engine_constants &Constants) : Constants(Constants) {}

  /// Starts a request, or queues it if the batch is full.
  void start(const engine_request &Request, double NowMs);

  /// Brings the state to \p NowMs and returns what has finished by then.
  std::vector<engine_result> advance(double NowMs);

  /// When something will next finish, if nothing new comes.
  std::optional<double> nextEventMs() const;

  /// Drops a request. Returns false if it is not there.
  bool abort(std::uint64_t Id, double NowMs);

  // ---- Cache --------------------------------------------------------------

  /// Tokens of the program's own that are cached, its shared prefix aside.
  token_count cachedOf(const std::string &Program) const;
  /// Puts a copied prefix into the cache.
  void import(const std::string &Program, token_count Tokens, double NowMs);
  void release(const std::string &Program);
  std::vector<std::string> listing() const;
  token_count cacheUsed() const { return Used; }
  std::vector<eviction> takeEvictions();

  int running() const { return static_cast<int>(Running.size()); }
  int waiting() const { return static_cast<int>(Waiting.size()); }
  std::vector<std::uint64_t> requests() const;

  /// Forgets everything, as a process that died does.
  void clear();

private:
  struct sequence {
    engine_request Request;
    token_count Cached = 0;
    double PrefillLeftMs = 0;
    double TokensLeft = 0;
    double FirstTokenMs = 0;
  };
  struct cached_prefix {
    token_count Tokens = 0;
    double LastUseMs = 0;
    int Pins = 0;
  };

  void admit(engine_request Request, double NowMs);
  void progress(double SpanMs);
  double stepMs(std::size_t Decoding) const;
  std::size_t decoding() const;
  void finish(std::size_t Index, std::vector<engine_result> &Results);
  void makeRoom();
  void resize(cached_prefix &Prefix, token_count Tokens);

  engine_constants Constants;
  double LastMs = 0;
  std::vector<sequence> Running; ///< In order of arrival.
  std::vector<engine_request> Waiting;
  std::map<std::string, cached_prefix> Cache;
  token_count Used = 0;
  std::vector<eviction> Evictions;
};

} // namespace bench
