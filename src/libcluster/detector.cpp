#include "turmerichead/cluster_detector.h"

#include "turmerichead/error.h"
#include "turmerichead/hash.h"

#include <algorithm>
#include <limits>

namespace turmerichead {

std::string_view nameOf(host_health Health) {
  switch (Health) {
  case host_health::Unknown:
    return "unknown";
  case host_health::Alive:
    return "alive";
  case host_health::Suspected:
    return "suspected";
  case host_health::Dead:
    return "dead";
  }
  return "";
}

std::optional<failure_detector>
failure_detector::create(std::string Self, std::uint64_t Incarnation,
                         const detector_options &Options) {
  constexpr int MinHeartbeatsToSuspect = 3;
  if (Self.empty())
    return fail(error_code::InvalidInput, "a detector needs its host's id");
  if (Options.Heartbeat.count() <= 0 ||
      Options.Suspect < MinHeartbeatsToSuspect * Options.Heartbeat)
    return fail(error_code::InvalidInput,
                "suspect must be at least three heartbeats");
  return failure_detector(std::move(Self), Incarnation, Options);
}

failure_detector::failure_detector(std::string Self, std::uint64_t Incarnation,
                                   const detector_options &Options)
    : Self(std::move(Self)), Incarnation(Incarnation), Options(Options) {}

//------------------------------------------------------------------------------
// Members
//------------------------------------------------------------------------------

std::vector<std::string>
failure_detector::watchersOf(const host_record &Host,
                             std::span<const host_record> Hosts) const {
  std::vector<std::string> Result;
  if (Hosts.size() <= Options.FullMesh) {
    for (const host_record &Other : Hosts)
      if (Other.Id != Host.Id)
        Result.push_back(Other.Id);
    return Result;
  }
  using weighted = std::pair<std::uint64_t, const host_record *>;
  std::vector<weighted> Near;
  std::vector<weighted> Far;
  std::uint64_t Seed = hash64(Host.Id);
  for (const host_record &Other : Hosts) {
    if (Other.Id == Host.Id)
      continue;
    bool IsNear = Other.DataCentre == Host.DataCentre;
    (IsNear ? Near : Far).emplace_back(hash64(Other.Id, Seed), &Other);
  }
  const auto TakeHeaviest = [&Result](std::vector<weighted> &From,
                                      std::size_t Count) {
    Count = std::min(Count, From.size());
    std::partial_sort(From.begin(),
                      From.begin() + static_cast<std::ptrdiff_t>(Count),
                      From.end(), std::greater<>());
    for (std::size_t I = 0; I < Count; ++I)
      Result.push_back(From[I].second->Id);
  };
  TakeHeaviest(Near, Options.Neighbours);
  TakeHeaviest(Far, Options.RemoteNeighbours);
  return Result;
}

void failure_detector::setMembers(const shard_map &Map, time_point Now) {
  std::map<std::string, member, std::less<>> Next;
  Targets.clear();
  for (const host_record &Host : Map.Hosts) {
    auto Watchers = watchersOf(Host, Map.Hosts);
    if (Host.Id == Self) {
      Targets = std::move(Watchers);
      continue;
    }
    member &Row = Next[Host.Id];
    auto Known = Members.find(Host.Id);
    bool SameProcess = Known != Members.end() &&
                       Known->second.Record.Incarnation == Host.Incarnation;
    if (SameProcess)
      Row = std::move(Known->second);
    else
      Row.KnownSince = Now;
    Row.Record = Host;
    Row.WatchedBySelf =
        std::find(Watchers.begin(), Watchers.end(), Self) != Watchers.end();
    Row.Watchers = std::move(Watchers);
  }
  Members = std::move(Next);
}

void failure_detector::hintGone(std::span<const std::string> Hosts) {
  Gone = {Hosts.begin(), Hosts.end()};
}

//------------------------------------------------------------------------------
// Heartbeats
//------------------------------------------------------------------------------

void failure_detector::receive(const heartbeat &Beat, time_point Now) {
  auto Found = Members.find(Beat.From);
  if (Found == Members.end())
    return;
  member &From = Found->second;
  bool IsOld = Beat.Incarnation != From.Record.Incarnation ||
               Beat.Sequence <= From.Sequence;
  if (IsOld)
    return;
  From.Sequence = Beat.Sequence;
  From.HeardAt = Now;
  for (const peer_sighting &Row : Beat.Sightings) {
    auto About = Members.find(Row.Host);
    if (About == Members.end() ||
        About->second.Record.Incarnation != Row.Incarnation)
      continue;
    time_point HeardAt = Now - milliseconds(Row.AgeMs);
    member &Member = About->second;
    Member.Opinions[Beat.From] = {HeardAt, Now};
    Member.EchoedAt = std::max(Member.EchoedAt.value_or(HeardAt), HeardAt);
  }
}

void failure_detector::tick(time_point Now) {
  // This process was suspended, so missing heartbeats mean nothing.
  if (LastTick && Now - *LastTick > Options.Suspect / 2)
    GraceFrom = Now;
  LastTick = Now;
}

heartbeat failure_detector::compose(time_point Now, std::uint64_t MapVersion,
                                    const config_summary &Config) {
  heartbeat Beat;
  Beat.From = Self;
  Beat.Incarnation = Incarnation;
  Beat.Sequence = ++Sequence;
  Beat.MapVersion = MapVersion;
  Beat.Config = Config;
  std::vector<const member *> Watched;
  for (const auto &[Id, Member] : Members)
    if (Member.WatchedBySelf)
      Watched.push_back(&Member);
  std::size_t Count = std::min(Watched.size(), Options.MaxSightings);
  for (std::size_t I = 0; I < Count; ++I) {
    const member &Member = *Watched[(SightingCursor + I) % Watched.size()];
    time_point HeardAt = Member.HeardAt.value_or(Member.KnownSince);
    milliseconds Age = Now - HeardAt;
    // Nothing is known yet of a new member without heartbeats. The same holds
    // for the time during which this process was suspended.
    if (!Member.HeardAt && Age <= Options.Suspect)
      continue;
    if (HeardAt < GraceFrom && Now - GraceFrom <= Options.Suspect)
      continue;
    constexpr std::int64_t MaxAge = std::numeric_limits<std::uint32_t>::max();
    auto AgeMs = std::clamp<std::int64_t>(Age.count(), 0, MaxAge);
    Beat.Sightings.push_back({Member.Record.Id, Member.Record.Incarnation,
                              static_cast<std::uint32_t>(AgeMs)});
  }
  SightingCursor += Count;
  return Beat;
}

std::vector<std::string> failure_detector::targets(time_point Now) const {
  std::set<std::string> Result(Targets.begin(), Targets.end());
  for (const auto &[Id, Member] : Members)
    if (Member.WatchedBySelf && isSilent(Member, Now))
      Result.insert(Member.Watchers.begin(), Member.Watchers.end());
  Result.erase(Self);
  return {Result.begin(), Result.end()};
}

//------------------------------------------------------------------------------
// Verdicts
//------------------------------------------------------------------------------

time_point failure_detector::lastSign(const member &Member) const {
  time_point Last = std::max(Member.KnownSince, GraceFrom);
  Last = std::max(Last, Member.HeardAt.value_or(Last));
  return std::max(Last, Member.EchoedAt.value_or(Last));
}

bool failure_detector::isSilent(const member &Member, time_point Now) const {
  return Now - lastSign(Member) > Options.Suspect;
}

bool failure_detector::majorityAgrees(const member &Member,
                                      time_point Now) const {
  // The suspected host counts as a vote for itself, so that of two hosts
  // without a connection to each other neither has a majority.
  std::size_t Voices = 1;
  std::size_t Agreeing = 0;
  for (const std::string &Watcher : Member.Watchers) {
    if (Watcher == Self) {
      ++Voices;
      ++Agreeing; // The caller already considers the member silent.
      continue;
    }
    auto Row = Members.find(Watcher);
    if (Row == Members.end())
      continue;
    if (Gone.contains(Watcher) && isSilent(Row->second, Now))
      continue;
    ++Voices;
    auto Said = Member.Opinions.find(Watcher);
    bool Recent = Said != Member.Opinions.end() &&
                  Now - Said->second.SaidAt <= Options.Suspect;
    if (Recent && Now - Said->second.HeardAt > Options.Suspect)
      ++Agreeing;
  }
  if (Gone.contains(Member.Record.Id))
    --Voices;
  return 2 * Agreeing > Voices;
}

host_health failure_detector::health(std::string_view Host,
                                     time_point Now) const {
  auto Found = Members.find(Host);
  if (Found == Members.end())
    return Host == Self ? host_health::Alive : host_health::Unknown;
  const member &Member = Found->second;
  if (!Member.WatchedBySelf || !isSilent(Member, Now))
    return host_health::Alive;
  milliseconds Silence = Now - lastSign(Member);
  bool Alone = Silence > Options.MinorityFactor * Options.Suspect;
  return Alone || majorityAgrees(Member, Now) ? host_health::Dead
                                              : host_health::Suspected;
}

std::vector<std::string> failure_detector::suspected(time_point Now) const {
  std::vector<std::string> Result;
  for (const auto &[Id, Member] : Members) {
    host_health Health = health(Id, Now);
    if (Health == host_health::Suspected || Health == host_health::Dead)
      Result.push_back(Id);
  }
  return Result;
}

int failure_detector::turnOf(const member &Dead, time_point Now) const {
  std::uint64_t Seed = hash64(Dead.Record.Id);
  std::uint64_t Own = hash64(Self, Seed);
  int Turn = 0;
  for (const std::string &Watcher : Dead.Watchers) {
    auto Row = Members.find(Watcher);
    bool Alive = Row != Members.end() && !isSilent(Row->second, Now);
    if (Alive && hash64(Watcher, Seed) > Own)
      ++Turn;
  }
  return Turn;
}

std::vector<std::string> failure_detector::proposals(time_point Now) const {
  std::vector<std::string> Result;
  for (const auto &[Id, Member] : Members) {
    if (health(Id, Now) != host_health::Dead)
      continue;
    milliseconds Silence = Now - lastSign(Member);
    int Waits = 1 + turnOf(Member, Now);
    if (!majorityAgrees(Member, Now))
      Waits += Options.MinorityFactor;
    if (Silence > Waits * Options.Suspect)
      Result.push_back(Id);
  }
  return Result;
}

bool failure_detector::hearsMajority(time_point Now) const {
  std::size_t Expected = 1;
  std::size_t Heard = 1; // This host itself.
  for (const auto &[Id, Member] : Members) {
    if (!Member.WatchedBySelf)
      continue;
    ++Expected;
    if (!isSilent(Member, Now))
      ++Heard;
  }
  return 2 * Heard > Expected;
}

} // namespace turmerichead
