#include "turmerichead/relay_links.h"

#include <algorithm>

namespace turmerichead::relay {

namespace {

// One connection that another host can establish may be chance; a single
// upstream that nobody reaches is its own fault.
constexpr std::size_t MinReachedByOthers = 2;
constexpr std::size_t MinLostLinks = 3;
// Between two probes of one address, and of any.
constexpr milliseconds ProbeInterval{500};
constexpr milliseconds ProbeSpacing{100};
constexpr milliseconds MinSilence{250};
constexpr milliseconds MinPause{250};
constexpr milliseconds MaxPause{4000};

} // namespace

void upstream_links::recordFailure(std::string_view Address, time_point Now) {
  Lost.try_emplace(std::string(Address), lost_link{Now, false});
  LastFailure = Now;
}

void upstream_links::recordConnected(std::string_view Address, time_point Now) {
  forget(Address);
  LastConnected = Now;
  LastAnswer = Now;
}

void upstream_links::recordReachedByOther(std::string_view Address) {
  auto Link = Lost.find(Address);
  if (Link != Lost.end())
    Link->second.ReachedByOther = true;
}

void upstream_links::recordUnreachedByOther(std::string_view Address) {
  forget(Address);
}

void upstream_links::forget(std::string_view Address) {
  auto Link = Lost.find(Address);
  if (Link != Lost.end())
    Lost.erase(Link);
}

bool upstream_links::isLost(std::string_view Address) const {
  return isCutOff() || Lost.find(Address) != Lost.end();
}

bool upstream_links::isCutOff() const {
  std::size_t Reached = 0;
  std::size_t LostSince = 0; // Since the last connection.
  for (const auto &[Address, Link] : Lost) {
    if (Link.Since < LastConnected)
      continue;
    ++LostSince;
    Reached += Link.ReachedByOther ? 1 : 0;
  }
  return Reached >= MinReachedByOthers || LostSince >= MinLostLinks;
}

bool upstream_links::reachesNothing() const {
  return isCutOff() && LastAnswer < LastFailure;
}

bool upstream_links::isSilent(time_point Now) const {
  return Now - LastAnswer >= MinSilence;
}

bool upstream_links::takeProbe(std::string_view Address, time_point Now) {
  if (Now - LastProbe < ProbeSpacing)
    return false;
  std::erase_if(Probed, [&](const auto &Probe) {
    return Now - Probe.second >= ProbeInterval;
  });
  if (!Probed.try_emplace(std::string(Address), Now).second)
    return false;
  LastProbe = Now;
  return true;
}

void tunnel_hosts::set(std::span<const std::string> Addresses) {
  std::vector<row> New;
  for (const std::string &Address : Addresses) {
    const row *Old = find(Address);
    New.push_back(Old ? *Old : row{Address, {}, {}});
  }
  Rows = std::move(New);
}

std::optional<std::string> tunnel_hosts::pick(time_point Now) const {
  const row *Best = nullptr;
  for (const row &Row : Rows) {
    if (Row.AvoidUntil > Now)
      continue;
    if (Row.Address == Current)
      return Current;
    if (!Best)
      Best = &Row;
  }
  if (!Best)
    return std::nullopt;
  return Best->Address;
}

void tunnel_hosts::recordSuccess(std::string_view Address) {
  Current = Address;
  if (row *Row = find(Address)) {
    Row->AvoidUntil = {};
    Row->Pause = milliseconds(0);
  }
}

void tunnel_hosts::recordFailure(std::string_view Address, time_point Now) {
  row *Row = find(Address);
  // Calls that were under way together count once.
  if (!Row || Row->AvoidUntil > Now)
    return;
  Row->Pause = std::clamp(Row->Pause * 2, MinPause, MaxPause);
  Row->AvoidUntil = Now + Row->Pause;
}

tunnel_hosts::row *tunnel_hosts::find(std::string_view Address) {
  auto Row = std::find_if(Rows.begin(), Rows.end(), [&](const row &Each) {
    return Each.Address == Address;
  });
  return Row == Rows.end() ? nullptr : &*Row;
}

} // namespace turmerichead::relay
