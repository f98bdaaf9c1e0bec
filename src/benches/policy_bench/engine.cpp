#include "engine.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace bench {

namespace {
/// Progress below this counts as done: times are sums of many fractions.
constexpr double Done = 1e-6;

std::string sharedName(const std::string &Entry) { return "shared:" + Entry; }
} // namespace

double engine::stepMs(std::size_t Decoding) const {
  return Constants.StepBaseMs +
         Constants.StepPerSequenceMs * static_cast<double>(Decoding);
}

std::size_t engine::decoding() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Running, [](const sequence &Sequence) {
        return Sequence.PrefillLeftMs <= Done;
      }));
}

void engine::start(const engine_request &Request, double NowMs) {
  if (running() >= Constants.Slots) {
    Waiting.push_back(Request);
    return;
  }
  admit(Request, NowMs);
}

void engine::admit(engine_request Request, double NowMs) {
  cached_prefix &Shared = Cache[sharedName(Request.Entry)];
  cached_prefix &Own = Cache[Request.Program];
  token_count Cached = 0;
  if (Shared.Tokens > 0)
    Cached = Shared.Tokens + Own.Tokens;
  Cached = std::min(Cached, Request.PromptTokens - 1);
  resize(Shared, Request.SharedPrefix);
  resize(Own, Request.PromptTokens - Request.SharedPrefix);
  for (cached_prefix *Prefix : {&Shared, &Own}) {
    Prefix->LastUseMs = NowMs;
    ++Prefix->Pins;
  }
  sequence Sequence;
  Sequence.Cached = Cached;
  Sequence.PrefillLeftMs = static_cast<double>(Request.PromptTokens - Cached) *
                           Constants.PrefillMsPerToken;
  Sequence.TokensLeft = static_cast<double>(Request.OutputTokens);
  Sequence.Request = std::move(Request);
  Running.push_back(std::move(Sequence));
  makeRoom();
}

std::optional<double> engine::nextEventMs() const {
  if (Running.empty())
    return std::nullopt;
  std::size_t Decoding = decoding();
  bool Prefilling = Decoding < Running.size();
  double Share = !Prefilling ? 0 : Decoding > 0 ? Constants.PrefillShare : 1;
  double Next = std::numeric_limits<double>::infinity();
  bool FirstPrefill = true;
  for (const sequence &Sequence : Running) {
    if (Sequence.PrefillLeftMs > Done) {
      if (FirstPrefill)
        Next = std::min(Next, Sequence.PrefillLeftMs / Share);
      FirstPrefill = false;
      continue;
    }
    Next = std::min(Next, Sequence.TokensLeft * stepMs(Decoding) / (1 - Share));
  }
  return LastMs + Next;
}

void engine::progress(double SpanMs) {
  std::size_t Decoding = decoding();
  bool Prefilling = Decoding < Running.size();
  double Share = !Prefilling ? 0 : Decoding > 0 ? Constants.PrefillShare : 1;
  bool FirstPrefill = true;
  for (sequence &Sequence : Running) {
    if (Sequence.PrefillLeftMs > Done) {
      if (FirstPrefill)
        Sequence.PrefillLeftMs -= SpanMs * Share;
      FirstPrefill = false;
      if (Sequence.PrefillLeftMs <= Done)
        Sequence.FirstTokenMs = LastMs + SpanMs;
      continue;
    }
    Sequence.TokensLeft -= SpanMs * (1 - Share) / stepMs(Decoding);
  }
  LastMs += SpanMs;
}

void engine::finish(std::size_t Index, std::vector<engine_result> &Results) {
  sequence Sequence = std::move(Running[Index]);
  Running.erase(Running.begin() + static_cast<std::ptrdiff_t>(Index));
  const engine_request &Request = Sequence.Request;
  Results.push_back({Request.Id, Sequence.Cached, Sequence.FirstTokenMs});
  cached_prefix &Own = Cache[Request.Program];
  resize(Own,
         Request.PromptTokens + Request.OutputTokens - Request.SharedPrefix);
  Own.LastUseMs = LastMs;
  --Own.Pins;
  --Cache[sharedName(Request.Entry)].Pins;
  makeRoom();
  if (Waiting.empty())
    return;
  engine_request Next = std::move(Waiting.front());
  Waiting.erase(Waiting.begin());
  admit(std::move(Next), LastMs);
}

std::vector<engine_result> engine::advance(double NowMs) {
  std::vector<engine_result> Results;
  while (true) {
    auto Next = nextEventMs();
    if (!Next || *Next > NowMs)
      break;
    progress(std::max(0.0, *Next - LastMs));
    for (std::size_t I = 0; I < Running.size();) {
      bool IsDone =
          Running[I].PrefillLeftMs <= Done && Running[I].TokensLeft <= Done;
      if (IsDone)
        finish(I, Results);
      else
        ++I;
    }
  }
  if (NowMs > LastMs)
    progress(NowMs - LastMs);
  return Results;
}

bool engine::abort(std::uint64_t Id, double NowMs) {
  advance(NowMs);
  auto Same = [&](const sequence &Row) { return Row.Request.Id == Id; };
  auto Found = std::ranges::find_if(Running, Same);
  if (Found == Running.end())
    return std::erase_if(Waiting, [&](const engine_request &Row) {
             return Row.Id == Id;
           }) > 0;
  --Cache[Found->Request.Program].Pins;
  --Cache[sharedName(Found->Request.Entry)].Pins;
  Running.erase(Found);
  return true;
}

// ---- Cache ----------------------------------------------------------------

void engine::resize(cached_prefix &Prefix, token_count Tokens) {
  Used += Tokens - Prefix.Tokens;
  Prefix.Tokens = Tokens;
}

void engine::makeRoom() {
  while (Used > Constants.CacheTokens) {
    auto Oldest = Cache.end();
    for (auto I = Cache.begin(); I != Cache.end(); ++I)
      if (I->second.Pins == 0 &&
          (Oldest == Cache.end() ||
           I->second.LastUseMs < Oldest->second.LastUseMs))
        Oldest = I;
    if (Oldest == Cache.end())
      return;
    Used -= Oldest->second.Tokens;
    Evictions.push_back({Oldest->first});
    Cache.erase(Oldest);
  }
}

token_count engine::cachedOf(const std::string &Program) const {
  auto Found = Cache.find(Program);
  return Found == Cache.end() ? 0 : Found->second.Tokens;
}

void engine::import(const std::string &Program, token_count Tokens,
                    double NowMs) {
  cached_prefix &Prefix = Cache[Program];
  if (Prefix.Tokens < Tokens)
    resize(Prefix, Tokens);
  Prefix.LastUseMs = NowMs;
  makeRoom();
}

void engine::release(const std::string &Program) {
  auto Found = Cache.find(Program);
  if (Found == Cache.end() || Found->second.Pins > 0)
    return;
  Used -= Found->second.Tokens;
  Cache.erase(Found);
}

std::vector<std::string> engine::listing() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Prefix] : Cache)
    if (!Name.starts_with("shared:"))
      Names.push_back(Name);
  return Names;
}

std::vector<eviction> engine::takeEvictions() {
  return std::exchange(Evictions, {});
}

std::vector<std::uint64_t> engine::requests() const {
  std::vector<std::uint64_t> Ids;
  for (const sequence &Sequence : Running)
    Ids.push_back(Sequence.Request.Id);
  for (const engine_request &Request : Waiting)
    Ids.push_back(Request.Id);
  return Ids;
}

void engine::clear() {
  Running.clear();
  Waiting.clear();
  Cache.clear();
  Used = 0;
}

} // namespace bench
