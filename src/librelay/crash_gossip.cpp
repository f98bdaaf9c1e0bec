#include "turmerichead/relay_crash_gossip.h"

#include "turmerichead/error.h"
#include "turmerichead/hash.h"
#include "turmerichead/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace turmerichead::relay {

namespace {

// Crashes from which on a record is sent to all hosts and kept on disk.
constexpr std::size_t MinCrashesForAllHosts = 2;
constexpr std::size_t MaxUnlistedPeers = 1000;

} // namespace

nlohmann::json describeCrashes(std::span<const sched::known_crash> Crashes) {
  nlohmann::json Rows = nlohmann::json::array();
  for (const sched::known_crash &Row : Crashes)
    Rows.push_back({{"upstream", Row.Crash.Upstream},
                    {"seen_by", Row.Crash.SeenBy},
                    {"ms_ago", Row.Crash.Age.count()},
                    {"known_here_for_ms", Row.LearnedAge.count()}});
  return Rows;
}

crash_gossip::crash_gossip(crash_tracker &Table, peer_links &Links,
                           crash_gossip_settings Settings)
    : Table(Table), Links(Links), Settings(std::move(Settings)) {}

void crash_gossip::onChanged(std::function<void()> Action) {
  OnChanged = std::move(Action);
}

bool crash_gossip::handles(std::string_view Path) {
  return Path == ReportPath || Path == SyncPath;
}

// -- Sending -----------------------------------------------------------------

void crash_gossip::setPeers(std::vector<std::string> NewDiskHosts,
                            std::vector<std::string> NewEntryHosts) {
  DiskHosts = std::move(NewDiskHosts);
  EntryHosts = std::move(NewEntryHosts);
  Table.setHosts(EntryHosts, Settings.Self);
  for (const std::string &Address : EntryHosts)
    UnlistedPeers.erase(Address);
  std::erase_if(Peers, [&](const auto &Row) {
    auto IsIn = [&](const std::vector<std::string> &Hosts) {
      return std::find(Hosts.begin(), Hosts.end(), Row.first) != Hosts.end();
    };
    return !Row.second.InFlight && !IsIn(DiskHosts) && !IsIn(EntryHosts) &&
           UnlistedPeers.count(Row.first) == 0;
  });
  if (!Synced)
    requestAllRecords();
}

// A cleared record goes to all hosts as well, because it ends a quarantine.
bool crash_gossip::concernsAllHosts(std::uint64_t Fingerprint,
                                    time_point Now) const {
  std::size_t Crashes = Table.crashesOf(Fingerprint, Now).size();
  return Crashes == 0 || Crashes >= MinCrashesForAllHosts;
}

void crash_gossip::enqueue(std::span<const std::uint64_t> Fingerprints,
                           std::string_view Except) {
  time_point Now = steadyNow();
  auto EnqueueFor = [&](const auto &Hosts, bool OnlyForAllHosts) {
    for (const std::string &Address : Hosts) {
      if (Address == Settings.Self || Address == Except)
        continue;
      for (std::uint64_t Fingerprint : Fingerprints)
        if (!OnlyForAllHosts || concernsAllHosts(Fingerprint, Now))
          Peers[Address].Pending.insert(Fingerprint);
    }
  };
  EnqueueFor(DiskHosts, false);
  EnqueueFor(EntryHosts, true);
  EnqueueFor(UnlistedPeers, true);
  flush();
}

void crash_gossip::propagate(std::span<const std::uint64_t> Fingerprints) {
  enqueue(Fingerprints, {});
  bool MustSave = std::any_of(
      Fingerprints.begin(), Fingerprints.end(), [&](auto Fingerprint) {
        return concernsAllHosts(Fingerprint, steadyNow());
      });
  if (MustSave && OnChanged)
    OnChanged();
}

void crash_gossip::flush() {
  for (auto &[Address, Peer] : Peers)
    if (!Peer.InFlight && !Peer.Pending.empty())
      send(Address, Peer);
}

void crash_gossip::send(const std::string &Address, peer &Peer) {
  std::vector<std::uint64_t> Fingerprints(Peer.Pending.begin(),
                                          Peer.Pending.end());
  auto Entries = Table.entriesOf(Fingerprints, steadyNow());
  if (Entries.empty()) {
    // All pending records have expired.
    Peer.Pending.clear();
    return;
  }
  Peer.InFlight = true;
  Links.setAddress(Address, Address);
  Links.send(Address,
             {std::string(ReportPath), {}, sched::encodePoisonEntries(Entries)},
             {[](std::string_view) {},
              [this, Address, Fingerprints](const peer_result &Result) {
                peer &Row = Peers[Address];
                Row.InFlight = false;
                if (Result.Code == error_code::None)
                  for (std::uint64_t Fingerprint : Fingerprints)
                    Row.Pending.erase(Fingerprint);
                if (!Row.Pending.empty())
                  scheduleRetry();
              }});
}

void crash_gossip::scheduleRetry() {
  if (RetryTimer)
    return;
  RetryTimer = loop_source::every(Settings.RetryInterval, [this] {
    RetryTimer.reset();
    flush();
    if (!Synced)
      requestAllRecords();
    return false;
  });
}

// -- Receiving ---------------------------------------------------------------

void crash_gossip::requestAllRecords() {
  std::vector<std::string> Others = DiskHosts;
  std::erase(Others, Settings.Self);
  if (SyncInFlight || Others.empty())
    return;
  SyncInFlight = true;
  const std::string &Address = Others[NextSyncSource++ % Others.size()];
  Links.setAddress(Address, Address);
  Links.send(Address, {std::string(SyncPath), {}, {}},
             {[this, Address](std::string_view Bytes) {
                Synced = mergeRecords(Bytes, Address);
              },
              [this](const peer_result &) {
                SyncInFlight = false;
                if (!Synced)
                  scheduleRetry();
              }});
}

bool crash_gossip::mergeRecords(std::string_view Bytes, std::string_view From) {
  auto Entries = sched::decodePoisonEntries(Bytes);
  if (!Entries) {
    log::warn("failed to decode crash records",
              {{"from", From}, {"reason", lastError().Text}});
    return false;
  }
  time_point Now = steadyNow();
  std::vector<std::uint64_t> Changed = Table.merge(*Entries, Now);
  for (std::uint64_t Fingerprint : Changed)
    log::info("crash record received",
              {{"fingerprint", toHex(Fingerprint)},
               {"ends", describeCrashes(Table.crashesOf(Fingerprint, Now))},
               {"from", From}});
  if (Changed.empty())
    return true;
  if (Settings.IsDiskHost)
    enqueue(Changed, From);
  if (OnChanged)
    OnChanged();
  return true;
}

void crash_gossip::serve(peer_server &Server,
                         const peer_request_view &Request) {
  addUnlistedPeer(Request.Host);
  if (Request.Path == SyncPath) {
    Server.write(Request.Reply, sched::encodePoisonEntries(
                                    Table.entriesWithAtLeast(1, steadyNow())));
    Server.end(Request.Reply, {});
    return;
  }
  bool Merged = mergeRecords(Request.Body, Request.Host);
  Server.end(Request.Reply,
             {Merged ? error_code::None : error_code::Corrupt, {}});
}

// A host that could not register yet is known only by its requests.
void crash_gossip::addUnlistedPeer(std::string_view Address) {
  bool Listed =
      std::find(EntryHosts.begin(), EntryHosts.end(), Address) !=
          EntryHosts.end() ||
      std::find(DiskHosts.begin(), DiskHosts.end(), Address) != DiskHosts.end();
  if (!Listed && UnlistedPeers.size() < MaxUnlistedPeers)
    UnlistedPeers.emplace(Address);
}

// -- Persistence -------------------------------------------------------------

std::string crash_gossip::save(time_point Now) const {
  return sched::encodePoisonEntries(
      Table.entriesWithAtLeast(MinCrashesForAllHosts, Now));
}

bool crash_gossip::load(std::string_view Bytes, time_point Now) {
  auto Entries = sched::decodePoisonEntries(Bytes);
  if (!Entries)
    return false;
  Table.merge(*Entries, Now);
  return true;
}

} // namespace turmerichead::relay
