#include "keys.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace turmerichead::soak {

using fleet_harness::fleet;
using fleet_harness::wallMs;

namespace {

constexpr milliseconds ChangeInterval{1300};
constexpr milliseconds CallInterval{40};
// Older keys are not used: all hosts have refused them for some seconds.
constexpr std::size_t RemovedKeysInUse = 4;
constexpr double LeastAnswered = 0.9;

/// Whether an answer says that the request did not run.
bool saysNotRun(int Status) {
  return Status == http1::status::Unauthorized ||
         Status == http1::status::Unavailable;
}

} // namespace

key_callers::key_callers(fleet_harness::fleet &Fleet, oracle &Oracle,
                         std::uint64_t Seed)
    : Fleet(Fleet), Oracle(Oracle),
      RevocationMs(Fleet.settings().RevocationTime.count()), Random(Seed),
      Valid(static_cast<std::size_t>(Fleet.settings().Organisations)) {
  Changes = loop_source::every(ChangeInterval, [this] {
    change();
    return true;
  });
  Calls = loop_source::every(CallInterval, [this] {
    call();
    return true;
  });
}

// Replaces the key of one organisation.
void key_callers::change() {
  if (Fleet.isConfiguring())
    return;
  std::size_t Index = Random() % Valid.size();
  std::string Old = Valid[Index];
  std::string New = fleet::KeyPrefix + std::to_string(++Serial);
  Keys[New].Organisation = Fleet.organisation(Index);
  Valid[Index] = New;
  if (!Old.empty())
    Keys[Old].RemovalBegan = wallMs();
  std::vector<fleet_harness::organisation_key> All;
  for (const std::string &Key : Valid)
    if (!Key.empty())
      All.push_back({Keys[Key].Organisation, Key});
  std::int64_t At = Fleet.putKeys(std::move(All));
  Keys[New].AddedAt = At;
  if (Old.empty())
    return;
  Keys[Old].RemovedAt = At;
  Removed.push_back(Old);
  if (Removed.size() > RemovedKeysInUse)
    Removed.erase(Removed.begin());
}

// Returns a key for the next request; empty for a request without a key.
std::string key_callers::choose() {
  constexpr unsigned Kinds = 5;
  switch (Random() % Kinds) {
  case 0:
    return {};
  case 1:
    return fleet::KeyPrefix + std::string("unknown-") +
           std::to_string(++Serial);
  case 2:
    return Valid[Random() % Valid.size()];
  default:
    return Removed.empty() ? std::string() : Removed[Random() % Removed.size()];
  }
}

void key_callers::call() {
  std::vector<std::string> Hosts = Fleet.names(fleet_harness::role::Entry);
  std::erase_if(
      Hosts, [&](const std::string &Name) { return !Fleet.isRunning(Name); });
  if (Hosts.empty())
    return;
  using fleet_harness::route_kind;
  bool Look = Random() % 2 == 0;
  const fleet_harness::route_shape *Route =
      Fleet.shape().findRoute(Look ? route_kind::Safe : route_kind::Unsafe);
  if (!Route)
    return;
  fleet_harness::caller_request Request;
  Request.Method = Look ? "GET" : "POST";
  Request.Host = Route->Host;
  Request.Path = Route->Path;
  Request.Body = Look ? "" : "book by key " + std::to_string(++Serial);
  Request.Caller.Key = choose();
  attempt Attempt{Request.Caller.Key, wallMs(), 0, 0};
  ++Pending;
  send(Fleet, Hosts[Random() % Hosts.size()], Request,
       [this, Attempt](const fleet_harness::caller_answer &Answer) mutable {
         --Pending;
         Attempt.AnsweredAt = wallMs();
         Attempt.Status = Answer.Status;
         Attempts[Answer.Attempt] = Attempt;
       });
}

void key_callers::judgeEnd(std::int64_t FromMs) {
  Calls.reset();
  int Sent = 0;
  int Answered = 0;
  for (const auto &[Id, Attempt] : Attempts) {
    bool IsValid =
        std::find(Valid.begin(), Valid.end(), Attempt.Key) != Valid.end();
    if (Attempt.SentAt < FromMs || !IsValid || Attempt.Key.empty())
      continue;
    ++Sent;
    Answered += Attempt.Status == http1::status::Ok ? 1 : 0;
  }
  if (Answered < LeastAnswered * Sent || Sent == 0)
    Oracle.fail("recovery", std::to_string(Answered) + " of " +
                                std::to_string(Sent) +
                                " requests with a new key are answered after "
                                "all is over");
}

void key_callers::judge(const std::vector<fleet_harness::run_line> &Runs) {
  for (const fleet_harness::run_line &Line : Runs) {
    auto Attempt = Attempts.find(Line.Attempt);
    if (Line.What == "run" && Attempt != Attempts.end())
      judgeRun(Attempt->second, Line);
  }
  for (const auto &[Id, Attempt] : Attempts)
    judgeAnswer(Id, Attempt);
  judgeFiles();
}

void key_callers::judgeRun(const attempt &Attempt,
                           const fleet_harness::run_line &Line) {
  auto Found = Keys.find(Attempt.Key);
  if (Found == Keys.end()) {
    Oracle.fail("keys", Line.Attempt + " ran without a key that ever existed");
    return;
  }
  const key &Key = Found->second;
  std::int64_t Late = Attempt.SentAt - Key.RemovedAt;
  if (Key.RemovedAt > 0 && Late > RevocationMs)
    Oracle.fail("revocation", Line.Attempt + " was sent " +
                                  std::to_string(Late) +
                                  " ms after its key was removed, and ran");
  if (Line.Organisation != Key.Organisation)
    Oracle.fail("organisations", Line.Attempt + " of " + Key.Organisation +
                                     " ran for '" + Line.Organisation + "'");
  if (Line.HasKey)
    Oracle.fail("keys",
                Line.Attempt + ": " + Line.Upstream + " was sent the key");
  if (saysNotRun(Attempt.Status))
    Oracle.fail("not run", Line.Attempt + " was told " +
                               std::to_string(Attempt.Status) + " and has run");
}

// Requests with a key that each host must know by now must not get 401, and
// those with a key that never existed must not get 200.
void key_callers::judgeAnswer(const std::string &Id, const attempt &Attempt) {
  auto Found = Keys.find(Attempt.Key);
  if (Found == Keys.end()) {
    if (Attempt.Status == http1::status::Ok)
      Oracle.fail("keys", Id + ": an unknown key was answered 200");
    return;
  }
  const key &Key = Found->second;
  bool Known = Key.AddedAt > 0 && Attempt.SentAt > Key.AddedAt + RevocationMs &&
               (Key.RemovalBegan == 0 || Attempt.AnsweredAt < Key.RemovalBegan);
  if (Known && Attempt.Status == http1::status::Unauthorized)
    Oracle.fail("keys", Id + ": a valid key was answered 401");
}

// Searches the logs of all processes and the disks of disk hosts for keys.
void key_callers::judgeFiles() {
  namespace fs = std::filesystem;
  std::set<std::string> Folders = {Fleet.settings().Scratch, Fleet.diskRoot()};
  for (const std::string &Folder : Folders)
    for (const auto &File : fs::recursive_directory_iterator(Folder))
      judgeFile(File);
}

void key_callers::judgeFile(const std::filesystem::directory_entry &File) {
  if (!File.is_regular_file())
    return;
  std::ifstream Input(File.path(), std::ios::binary);
  std::stringstream Text;
  Text << Input.rdbuf();
  if (Text.str().find(fleet::KeyPrefix) != std::string::npos)
    Oracle.fail("keys", File.path().string() + " contains a key");
}

} // namespace turmerichead::soak
