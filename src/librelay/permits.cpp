#include "turmerichead/relay_permits.h"

#include "turmerichead/hash.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace turmerichead::relay {

namespace {

constexpr double MinPerSecond = 0.25;
// A disk host issues this part of what the one before it issues, so that all of
// them together stay below one and a half times the limit.
constexpr double NextIssuerShare = 1.0 / 3;
// Requests that may follow another one without a delay: half a second's worth,
// within these limits.
constexpr double MinBurst = 1;
constexpr double MaxBurst = 2;
constexpr double BurstSeconds = 0.5;
// Permits are issued anew for an upstream after this time without requests.
constexpr milliseconds UnusedTime{60'000};
constexpr milliseconds CleanInterval{10'000};

} // namespace

// -- Pace --------------------------------------------------------------------

double pacedRate(double PerSecond) { return std::max(PerSecond, MinPerSecond); }

// -- Issuing -----------------------------------------------------------------

permit_reply permit_issuer::issue(const permit_request &Request,
                                  time_point Now) {
  dropUnused(Now);
  auto [Entry, IsNew] = Rows.try_emplace(Request.Upstream);
  row &Row = Entry->second;
  Row.UsedAt = Now;
  time_point SaidAt =
      Now - milliseconds(std::max<std::int64_t>(Request.Limit.AgeMs, 0));
  if (IsNew || SaidAt > Row.SaidAt) {
    Row.Limit = Request.Limit;
    Row.SaidAt = SaidAt;
  }
  permit_reply Reply;
  Reply.Limit = Row.Limit;
  Reply.Limit.AgeMs = (Now - Row.SaidAt).count();
  if (!Row.Limit.IsLimited) {
    Reply.Granted = true;
    return Reply;
  }
  double Share =
      std::pow(NextIssuerShare, static_cast<double>(Request.Position));
  double PerSecond = pacedRate(Row.Limit.PerSecond) * Share;
  double Burst = Request.Position == 0
                     ? std::clamp(PerSecond * BurstSeconds, MinBurst, MaxBurst)
                     : 0.0;
  double KeptForOthers = Request.OnlySpare ? 1.0 : 0.0;
  auto Wait = Request.MaxWaitMs < 0
                  ? std::nullopt
                  : Row.Pacer.take(PerSecond, Burst - KeptForOthers,
                                   milliseconds(Request.MaxWaitMs), Now);
  Reply.Granted = Wait.has_value();
  Reply.NextWaitMs = Row.Pacer.wait(PerSecond, Burst, Now).count();
  Reply.WaitMs = Wait ? Wait->count() : Reply.NextWaitMs;
  return Reply;
}

void permit_issuer::dropUnused(time_point Now) {
  if (Now - Cleaned < CleanInterval)
    return;
  Cleaned = Now;
  std::erase_if(Rows, [&](const auto &Row) {
    return Now - Row.second.UsedAt >= UnusedTime;
  });
}

// -- Asking ------------------------------------------------------------------

std::optional<issuer_order::candidate>
issuer_order::pick(const upstream_run &Upstream,
                   std::span<const std::string> Addresses, time_point Now) {
  std::uint64_t Seed =
      hash64(Upstream.Id, static_cast<std::uint64_t>(Upstream.StartedMs));
  std::vector<std::pair<std::uint64_t, std::string_view>> Order;
  for (const std::string &Address : Addresses)
    Order.emplace_back(hash64(Address, Seed), Address);
  std::sort(Order.begin(), Order.end());
  for (std::size_t I = 0; I < Order.size(); ++I) {
    std::string_view Address = Order[I].second;
    if (!Avoided.isAvoided(Address, Now))
      return candidate{std::string(Address), static_cast<std::uint32_t>(I)};
  }
  return std::nullopt;
}

milliseconds permit_wait::longest() const {
  // A few times what the prompt of a program costs at another upstream.
  constexpr milliseconds AtHome{150};
  constexpr milliseconds NewProgram{150};
  constexpr milliseconds Urgent{1000};
  constexpr milliseconds Other{700};
  constexpr int PartOfTimeLeft = 2;
  milliseconds Wait = onlySpare()      ? milliseconds(0)
                      : HasAlternative ? AtHome
                      : StartsProgram
                          ? (Rank == 0 ? NewProgram : NewProgram / 2)
                      : Rank == 0 ? Urgent
                                  : Other;
  return std::max(std::min(Wait, Left / PartOfTimeLeft), milliseconds(0));
}

} // namespace turmerichead::relay
