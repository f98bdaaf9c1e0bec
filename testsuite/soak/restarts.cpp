#include "restarts.h"

#include "foreign_entries.h"

#include <algorithm>

namespace turmerichead::soak {

using fleet_harness::role;
using fleet_harness::wallMs;

namespace {

constexpr milliseconds ReadyBound{10'000};
/// For a host that is asked after another has used the time up.
constexpr milliseconds QuestionTime{1000};
/// After a SIGTERM: the grace of hosts and some time more.
constexpr milliseconds StopBound{10'000};
/// A program is loaded by then.
constexpr milliseconds LoadTime{500};
constexpr milliseconds SlowStore{1500};
constexpr milliseconds RewriteInterval{3};

const char *nameOf(store_state State) {
  switch (State) {
  case store_state::Fine:
    return "fine";
  case store_state::Slow:
    return "slow";
  case store_state::Busy:
    return "busy";
  case store_state::Silent:
    return "silent";
  case store_state::Reset:
    break;
  }
  return "reset";
}

} // namespace

restart_series::restart_series(restart_settings Given)
    : Settings(std::move(Given)), Fleet(Settings.Fleet), Oracle(Fleet.shape()),
      Random(Settings.Seed) {
  Timeline.open(Settings.Fleet.Scratch + "/timeline.jsonl");
}

bool restart_series::play() {
  if (!Fleet.start())
    return false;
  time_point Start = steadyNow();
  fleet_harness::sound_traffic Traffic(
      Fleet, Settings.Programs, Settings.Seed,
      [this, Start](const std::string &,
                    const fleet_harness::caller_request &Request,
                    const fleet_harness::caller_answer &Answer) {
        Oracle.note(steadyNow() - Start, Request, Answer, false);
      },
      Settings.Rate);
  fleet_harness::foreign_entries Foreign(Fleet, Settings.Seed);
  for (int I = 0; I < Settings.Rounds && Fleet.isRunning("store"); ++I)
    play(draw());
  awaitReady(ReadyBound);
  Traffic.stop();
  Fleet.wait(StopBound, [&] { return Traffic.ended(); });
  if (Traffic.counts().Wrong > 0)
    Oracle.fail("own answers", std::to_string(Traffic.counts().Wrong) +
                                   " answers were not the request's own");
  Oracle.judge(Fleet.runs());
  Oracle.judgeEnds(Fleet.ends());
  for (const fleet_harness::process_end &End : Fleet.ends()) {
    bool Host = End.Role == role::Entry || End.Role == role::Disk;
    Counts.OwnEnds += Host && End.isOwn();
  }
  return true;
}

restart_series::round restart_series::draw() {
  constexpr std::uint64_t Percent = 100;
  auto Happens = [&](std::uint64_t Share) { return below(Percent) < Share; };
  auto UpTo = [&](std::uint64_t Ms) {
    return milliseconds(static_cast<std::int64_t>(below(Ms + 1)));
  };
  constexpr int Signals[] = {SIGKILL, SIGKILL, SIGTERM, SIGHUP};
  round Round;
  Round.Hosts = chooseHosts();
  Round.Signal = Signals[below(std::size(Signals))];
  Round.Age = Happens(40) ? UpTo(60) : UpTo(2500);
  Round.Down = Happens(30) ? milliseconds(0) : UpTo(800);
  if (Happens(40))
    Round.Store = static_cast<store_state>(1 + below(4));
  Round.StoreTime = UpTo(3000);
  Round.HoldsPorts = Happens(40);
  Round.RewritesSettings = Happens(40);
  Round.AwaitsReady = Happens(40);
  return Round;
}

std::vector<std::string> restart_series::chooseHosts() {
  std::vector<std::string> Entries = Fleet.names(role::Entry);
  std::vector<std::string> Disks = Fleet.names(role::Disk);
  std::vector<std::string> Hosts;
  std::uint64_t Which = below(4);
  if (Which != 1)
    Hosts = Entries;
  if (Which != 0)
    Hosts.insert(Hosts.end(), Disks.begin(), Disks.end());
  // A part of them, in any order.
  std::shuffle(Hosts.begin(), Hosts.end(), Random);
  if (Which == 3)
    Hosts.resize(1 + below(Hosts.size()));
  return Hosts;
}

void restart_series::play(const round &Round) {
  ++Counts.Rounds;
  Fleet.pause(Round.Age);
  tell(Round);
  if (Round.Signal == SIGHUP)
    hangUp(Round);
  else {
    end(Round);
    Fleet.pause(Round.Down);
    startAgain(Round);
  }
  if (Round.AwaitsReady)
    awaitReady(ReadyBound);
}

void restart_series::hangUp(const round &Round) {
  for (const std::string &Name : Round.Hosts) {
    if (Round.RewritesSettings)
      Fleet.rewriteSettings(Name);
    Fleet.wait(LoadTime, [&] { return Fleet.takesSignals(Name); });
    if (!Fleet.takesSignals(Name))
      continue;
    Fleet.signal(Name, SIGHUP);
    ++Counts.Hangups;
  }
  constexpr milliseconds EndTime{100};
  Fleet.pause(EndTime);
  superviseHosts();
}

void restart_series::end(const round &Round) {
  for (const std::string &Name : Round.Hosts) {
    Fleet.signal(Name, Round.Signal);
    ++(Round.Signal == SIGTERM ? Counts.Terms : Counts.Kills);
  }
  Fleet.wait(StopBound, [&] {
    return std::none_of(
        Round.Hosts.begin(), Round.Hosts.end(),
        [&](const auto &Name) { return Fleet.isRunning(Name); });
  });
  for (const std::string &Name : Round.Hosts) {
    if (!Fleet.isRunning(Name))
      continue;
    ++Counts.Hangs;
    Oracle.fail("stop", Name + " has not ended after a signal " +
                            std::to_string(Round.Signal));
    Fleet.kill(Name);
  }
}

std::vector<held_port> restart_series::holdPorts(const round &Round) {
  using port = fleet_harness::fleet::host_port;
  std::vector<held_port> Ports;
  if (!Round.HoldsPorts)
    return Ports;
  for (const std::string &Name : Round.Hosts)
    for (port Port : {port::Peer, port::Tunnel, port::Metrics})
      if (auto Held = held_port::create(Fleet.addressOf(Name, Port)))
        Ports.push_back(std::move(*Held));
  return Ports;
}

void restart_series::startAgain(const round &Round) {
  std::vector<held_port> Ports = holdPorts(Round);
  setStore(Round.Store);
  for (const std::string &Name : Round.Hosts)
    Counts.Starts += Fleet.startMember(Name);
  if (Round.RewritesSettings)
    rewriteFor(Round, std::min(Round.StoreTime, milliseconds(300)));
  if (Round.Store == store_state::Fine)
    return;
  Fleet.pause(Round.StoreTime);
  setStore(store_state::Fine);
}

void restart_series::rewriteFor(const round &Round, milliseconds Time) {
  for (time_point End = steadyNow() + Time; steadyNow() < End;) {
    for (const std::string &Name : Round.Hosts)
      Fleet.rewriteSettings(Name);
    Fleet.pause(RewriteInterval);
  }
}

void restart_series::setStore(store_state State) {
  const char *Mood = State == store_state::Slow ? "fine" : nameOf(State);
  std::int64_t Delay = State == store_state::Slow ? SlowStore.count() : 0;
  for (role Role : {role::Entry, role::Disk})
    for (const std::string &Name : Fleet.names(Role))
      if (auto &Link = Fleet.find(Name)->StoreLink)
        Link->setDelay(Delay);
  Fleet.order("store", {{"mood", Mood}});
}

// A host that has ended by itself is started again, as its supervisor would.
void restart_series::superviseHosts() {
  for (role Role : {role::Entry, role::Disk})
    for (const std::string &Name : Fleet.names(Role))
      Counts.Starts += Fleet.startMember(Name);
}

void restart_series::awaitReady(milliseconds Bound) {
  superviseHosts();
  time_point End = steadyNow() + Bound;
  for (const std::string &Name : Fleet.names(role::Entry)) {
    milliseconds Left = std::max(End - steadyNow(), QuestionTime);
    if (Fleet.waitReady(Name, Left))
      continue;
    ++Counts.NotReady;
    Oracle.fail("start", Name + " is not ready, start " +
                             std::to_string(Fleet.find(Name)->Starts) +
                             ", round " + std::to_string(Counts.Rounds));
  }
}

void restart_series::tell(const round &Round) {
  nlohmann::json Line = {{"at", wallMs()},
                         {"round", Counts.Rounds},
                         {"hosts", Round.Hosts},
                         {"signal", Round.Signal},
                         {"age_ms", Round.Age.count()},
                         {"down_ms", Round.Down.count()},
                         {"store", nameOf(Round.Store)},
                         {"store_ms", Round.StoreTime.count()},
                         {"holds_ports", Round.HoldsPorts},
                         {"rewrites_settings", Round.RewritesSettings}};
  Timeline << Line.dump() << std::endl;
}

} // namespace turmerichead::soak
