#include "turmerichead/relay_news.h"

#include "turmerichead/error.h"
#include "turmerichead/hash.h"
#include "turmerichead/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace turmerichead::relay {

namespace {

// Ends from which on all hosts are told, and records are kept on disk.
constexpr std::size_t WideEnds = 2;
constexpr std::size_t MaxHeard = 1000;

} // namespace

nlohmann::json describeEnds(std::span<const sched::known_death> Ends) {
  nlohmann::json Rows = nlohmann::json::array();
  for (const sched::known_death &Row : Ends)
    Rows.push_back({{"upstream", Row.Death.Upstream},
                    {"seen_by", Row.Death.SeenBy},
                    {"ms_ago", Row.Death.Age.count()},
                    {"known_here_for_ms", Row.LearnedAge.count()}});
  return Rows;
}

suspect_news::suspect_news(crash_tracker &Table, peer_links &Links,
                           news_settings Settings)
    : Table(Table), Links(Links), Settings(std::move(Settings)) {}

void suspect_news::onChanged(std::function<void()> Action) {
  OnChanged = std::move(Action);
}

bool suspect_news::takes(std::string_view Path) {
  return Path == TellPath || Path == AskPath;
}

// -- Telling -----------------------------------------------------------------

void suspect_news::setPeers(std::vector<std::string> Disks,
                            std::vector<std::string> Entries) {
  DiskHosts = std::move(Disks);
  EntryHosts = std::move(Entries);
  for (const std::string &Address : EntryHosts)
    Heard.erase(Address);
  std::erase_if(Peers, [&](const auto &Row) {
    auto Has = [&](const std::vector<std::string> &Hosts) {
      return std::find(Hosts.begin(), Hosts.end(), Row.first) != Hosts.end();
    };
    return !Row.second.InFlight && !Has(DiskHosts) && !Has(EntryHosts) &&
           Heard.count(Row.first) == 0;
  });
  if (!Asked)
    askAll();
}

// A cleared record is told to all as well: it takes a quarantineOf back.
bool suspect_news::isWide(std::uint64_t Fingerprint, time_point Now) const {
  std::size_t Ends = Table.crashesOf(Fingerprint, Now).size();
  return Ends == 0 || Ends >= WideEnds;
}

void suspect_news::owe(std::span<const std::uint64_t> Fingerprints,
                       std::string_view Except) {
  time_point Now = steadyNow();
  auto Add = [&](const auto &Hosts, bool Wide) {
    for (const std::string &Address : Hosts) {
      if (Address == Settings.Self || Address == Except)
        continue;
      for (std::uint64_t Fingerprint : Fingerprints)
        if (!Wide || isWide(Fingerprint, Now))
          Peers[Address].Owed.insert(Fingerprint);
    }
  };
  Add(DiskHosts, false);
  Add(EntryHosts, true);
  Add(Heard, true);
  flush();
}

void suspect_news::tell(std::span<const std::uint64_t> Fingerprints) {
  owe(Fingerprints, {});
  bool Kept = std::any_of(
      Fingerprints.begin(), Fingerprints.end(),
      [&](auto Fingerprint) { return isWide(Fingerprint, steadyNow()); });
  if (Kept && OnChanged)
    OnChanged();
}

void suspect_news::flush() {
  for (auto &[Address, Peer] : Peers)
    if (!Peer.InFlight && !Peer.Owed.empty())
      send(Address, Peer);
}

void suspect_news::send(const std::string &Address, peer &Peer) {
  std::vector<std::uint64_t> Fingerprints(Peer.Owed.begin(), Peer.Owed.end());
  auto Entries = Table.entriesOf(Fingerprints, steadyNow());
  if (Entries.empty()) {
    // All of it has expired.
    Peer.Owed.clear();
    return;
  }
  Peer.InFlight = true;
  Links.setAddress(Address, Address);
  Links.send(Address, {std::string(TellPath), {}, sched::encodePoison(Entries)},
             {[](std::string_view) {},
              [this, Address, Fingerprints](const peer_result &Result) {
                peer &Told = Peers[Address];
                Told.InFlight = false;
                if (Result.Code == error_code::None)
                  for (std::uint64_t Fingerprint : Fingerprints)
                    Told.Owed.erase(Fingerprint);
                if (!Told.Owed.empty())
                  schedule();
              }});
}

void suspect_news::schedule() {
  if (Retry)
    return;
  Retry = loop_source::every(Settings.RetryInterval, [this] {
    Retry.reset();
    flush();
    if (!Asked)
      askAll();
    return false;
  });
}

// -- Hearing -----------------------------------------------------------------

void suspect_news::askAll() {
  std::vector<std::string> Others = DiskHosts;
  std::erase(Others, Settings.Self);
  if (Asking || Others.empty())
    return;
  Asking = true;
  const std::string &Address = Others[NextAsked++ % Others.size()];
  Links.setAddress(Address, Address);
  Links.send(Address, {std::string(AskPath), {}, {}},
             {[this, Address](std::string_view Bytes) {
                Asked = take(Bytes, Address);
              },
              [this](const peer_result &) {
                Asking = false;
                if (!Asked)
                  schedule();
              }});
}

bool suspect_news::take(std::string_view Bytes, std::string_view From) {
  auto Entries = sched::decodePoison(Bytes);
  if (!Entries) {
    log::warn("ends of upstreams do not decode",
              {{"from", From}, {"reason", lastError().Text}});
    return false;
  }
  time_point Now = steadyNow();
  std::vector<std::uint64_t> Changed = Table.merge(*Entries, Now);
  for (std::uint64_t Fingerprint : Changed)
    log::info("suspect request heard of",
              {{"fingerprint", toHex(Fingerprint)},
               {"ends", describeEnds(Table.crashesOf(Fingerprint, Now))},
               {"from", From}});
  if (Changed.empty())
    return true;
  if (Settings.KeepsData)
    owe(Changed, From);
  if (OnChanged)
    OnChanged();
  return true;
}

void suspect_news::serve(peer_server &Server,
                         const peer_request_view &Request) {
  noteHeard(Request.Host);
  if (Request.Path == AskPath) {
    Server.write(Request.Reply,
                 sched::encodePoison(Table.entriesWithAtLeast(1, steadyNow())));
    Server.end(Request.Reply, {});
    return;
  }
  bool Taken = take(Request.Body, Request.Host);
  Server.end(Request.Reply,
             {Taken ? error_code::None : error_code::Corrupt, {}});
}

// A host that could not register yet is known by what it asks or tells.
void suspect_news::noteHeard(std::string_view Address) {
  bool Listed =
      std::find(EntryHosts.begin(), EntryHosts.end(), Address) !=
          EntryHosts.end() ||
      std::find(DiskHosts.begin(), DiskHosts.end(), Address) != DiskHosts.end();
  if (!Listed && Heard.size() < MaxHeard)
    Heard.emplace(Address);
}

// -- On disk -----------------------------------------------------------------

std::string suspect_news::save(time_point Now) const {
  return sched::encodePoison(Table.entriesWithAtLeast(WideEnds, Now));
}

bool suspect_news::load(std::string_view Bytes, time_point Now) {
  auto Entries = sched::decodePoison(Bytes);
  if (!Entries)
    return false;
  Table.merge(*Entries, Now);
  return true;
}

} // namespace turmerichead::relay
