#include "turmerichead/sched_admission.h"

#include <algorithm>

namespace turmerichead::sched {

namespace {

/// Retry delay of a call refused by the limit of calls in flight.
constexpr milliseconds ConcurrencyRetry{1'000};
/// Retry delay, before jitter, of a program refused by a limit of programs.
constexpr milliseconds ProgramRetry{10'000};
/// Upper bound of an entry's retry budget, in retries.
constexpr double MaxRetryTokens = 100;
/// Retry budget of a new entry, in retries.
constexpr double InitialRetryTokens = 5;
/// The fleet is busy, and the shares of owners are enforced, from this
/// fraction of the program capacity on. Below it, owners may exceed their
/// shares.
constexpr double BusyFraction = 0.8;

bool reached(std::int64_t Used, std::int64_t Limit) {
  return Limit > 0 && Used >= Limit;
}

refusal refuse(refusal_reason Reason, milliseconds RetryAfter) {
  return {{}, Reason, RetryAfter};
}

refusal refusePermanently(refusal_reason Reason) {
  return refuse(Reason, milliseconds(0));
}

} // namespace

std::optional<refusal> checkCall(const entry_limits &Limits,
                                 const program_usage &Usage,
                                 const call_estimate &Call, time_point Now) {
  if (Limits.WallTime.count() > 0 && Now - Usage.Start >= Limits.WallTime)
    return refusePermanently(refusal_reason::WallTimeLimit);
  if (Call.IsTool && reached(Usage.ToolCalls, Limits.ToolCalls))
    return refusePermanently(refusal_reason::CallLimit);
  if (!Call.IsTool && reached(Usage.Turns, Limits.Turns))
    return refusePermanently(refusal_reason::TurnLimit);
  bool Overspends =
      Limits.Tokens > 0 && Call.WorstCaseTokens > Limits.Tokens - Usage.Tokens;
  if (Overspends)
    return refusePermanently(refusal_reason::TokenLimit);
  if (reached(Usage.InFlight, Limits.Concurrency))
    return refuse(refusal_reason::ConcurrencyLimit, ConcurrencyRetry);
  return std::nullopt;
}

std::optional<time_point> shrinkDeadline(time_point Deadline, time_point Now,
                                         milliseconds Reserve) {
  time_point Remaining = Deadline - Reserve;
  if (Remaining <= Now)
    return std::nullopt;
  return Remaining;
}

// ---- Running programs -----------------------------------------------------

void admission::setEntry(std::string_view Entry, const entry_limits &Limits) {
  auto [Found, IsNew] = Entries.try_emplace(std::string(Entry));
  Found->second.Limits = Limits;
  if (IsNew)
    Found->second.RetryTokens = InitialRetryTokens;
}

void admission::removeEntry(std::string_view Entry) {
  auto Found = Entries.find(Entry);
  if (Found == Entries.end())
    return;
  // An entry with running programs keeps their count, so that endProgram()
  // can decrement it.
  if (Found->second.Programs == 0)
    Entries.erase(Found);
}

const entry_limits &admission::limitsOf(std::string_view Entry) const {
  static const entry_limits NoLimits;
  auto Found = Entries.find(Entry);
  return Found == Entries.end() ? NoLimits : Found->second.Limits;
}

void admission::setOwnerShare(std::string_view Owner, double Share) {
  Owners[std::string(Owner)].Share = std::clamp(Share, 0.0, 1.0);
}

std::optional<refusal> admission::admitProgram(std::string_view Entry,
                                               std::string_view Owner,
                                               std::string_view Program) {
  entry_state &EntryState = Entries[std::string(Entry)];
  owner_state &OwnerState = Owners[std::string(Owner)];
  milliseconds Retry = jitterRetry(ProgramRetry, Program);
  if (reached(EntryState.Programs, EntryState.Limits.Programs))
    return refuse(refusal_reason::ConcurrencyLimit, Retry);
  if (Capacity > 0) {
    auto Full = static_cast<double>(Capacity);
    bool Busy = static_cast<double>(Programs) >= BusyFraction * Full;
    double Allowed = std::max(1.0, OwnerState.Share * Full);
    if (Busy && static_cast<double>(OwnerState.Programs) >= Allowed)
      return refuse(refusal_reason::OwnerShare, Retry);
  }
  ++EntryState.Programs;
  ++OwnerState.Programs;
  ++Programs;
  return std::nullopt;
}

void admission::endProgram(std::string_view Entry, std::string_view Owner) {
  auto FoundEntry = Entries.find(Entry);
  auto FoundOwner = Owners.find(Owner);
  if (FoundEntry == Entries.end() || FoundEntry->second.Programs == 0)
    return;
  if (FoundOwner == Owners.end() || FoundOwner->second.Programs == 0)
    return;
  --FoundEntry->second.Programs;
  --FoundOwner->second.Programs;
  --Programs;
}

std::int64_t admission::programsOf(std::string_view Entry) const {
  auto Found = Entries.find(Entry);
  return Found == Entries.end() ? 0 : Found->second.Programs;
}

// ---- Retry budget ---------------------------------------------------------

void admission::countAttempt(std::string_view Entry) {
  auto Found = Entries.find(Entry);
  if (Found == Entries.end())
    return;
  entry_state &State = Found->second;
  State.RetryTokens = std::min(
      MaxRetryTokens, State.RetryTokens + State.Limits.RetryPercent / 100);
}

bool admission::takeRetry(std::string_view Entry, bool MayRepeat) {
  auto Found = Entries.find(Entry);
  if (!MayRepeat || Found == Entries.end())
    return false;
  if (Found->second.RetryTokens < 1)
    return false;
  Found->second.RetryTokens -= 1;
  return true;
}

} // namespace turmerichead::sched
