// Runs disk hosts through random crashes, power losses, wiped disks,
// replacements, retirements, partitions, delayed messages and losses of the set
// on the platform, and compares them with a model of the acknowledged writes.
// Time passes, so that records expire while other turns of their chains are
// still needed.

#include "disk_recorder.h"
#include "quorum_pvt.h"
#include "set_restore_pvt.h"
#include "test_repair_pvt.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <filesystem>
#include <numeric>
#include <random>
#include <rapidcheck.h>
#include <span>
#include <unistd.h>

using namespace turmerichead;
using namespace turmerichead::turns;

namespace {

constexpr std::size_t HostCount = 5;
constexpr std::uint64_t Budget = 100;
constexpr std::uint64_t TurnTokens = 40;
/// For which an acknowledged turn can be continued, and the tokens of a program
/// count.
constexpr milliseconds Retention{60'000};
constexpr milliseconds LongestTurn{4'000};
/// Of the records, as in relay::routing::recordRetention().
constexpr std::uint64_t RecordRetentionMs = 74'000;
/// Hosts that are connected complete their chains in a longer time.
constexpr std::uint64_t LongestMessageMs = 500;
constexpr std::uint64_t LongestPauseMs = 15'000;
/// In which the hosts restore a lost set by themselves in the end.
constexpr int RestoreRounds = 20;

struct disk_machine {
  disk_host Host;
  std::string Folder;
  std::optional<replica_core> Core; ///< Empty while the host is down.
  bool Removed = false;
  std::uint64_t Start = 0; ///< Number of its last start.
  bool IsCutOff = false;   ///< From all other hosts.
};

/// A reply to a request for records that has not arrived yet.
struct pending_copy {
  std::uint64_t Target; ///< disk_machine::Start
  std::string Source;
  std::uint64_t Epoch;
  std::optional<copy_reply> Reply;
};

/// A turn that is being written to the disk hosts.
struct pending_write {
  disk_set Set;
  turn_record Turn;
  std::string Chain; ///< With the turn itself.
  time_point BeganAt;
  std::vector<std::string> WriteTargets;
  std::vector<std::string> AckedBy;
};

/// An acknowledged turn.
struct acknowledged_turn {
  std::string Chain;
  time_point OwedUntil;
};

/// The tokens that were granted to a program.
struct granted_tokens {
  std::uint64_t Tokens = 0;
  time_point OwedUntil;
};

/// A reservation that is being written to the disk hosts.
struct pending_spend {
  disk_set Set;
  time_point BeganAt;
  spend_record Spend;
  std::vector<std::string> WriteTargets;
  std::vector<std::string> ReadTargets;
  reservation_quorum Quorum{{}, 0, 0};
};

/// The disk hosts, the set on the platform, and the writes in progress.
class disk_cluster {
public:
  explicit disk_cluster(std::uint32_t Seed) : Random(Seed) {
    std::string Template =
        (std::filesystem::temp_directory_path() / "replicasXXXXXX").string();
    Root = mkdtemp(Template.data());
    recordDisks();
    // Records expire only between disruptions: a host that starts again counts
    // their retention from then on.
    DisruptionPercent = chance(50) ? 25 : 3;
    for (std::size_t I = 0; I < HostCount; ++I)
      Machines.push_back(newMachine());
    for (disk_machine &Machine : Machines)
      start(Machine, true);
    Stored = *proposeSet(viewOf(Machines[0]));
    for (disk_machine &Machine : Machines)
      deliverSet(Machine);
  }
  ~disk_cluster() {
    Machines.clear();
    disk_standin::recordDisk({}, {});
    std::filesystem::remove_all(Root);
  }

  void run(int Steps) {
    for (int I = 0; I < Steps; ++I)
      runRandomStep();
    converge();
    for (const auto &[Id, Turn] : Acknowledged)
      RC_ASSERT(readChain(Id, allIndices()) == Turn.Chain);
    checkBudgets();
  }

private:
  std::size_t randomBelow(std::size_t Bound) {
    return std::uniform_int_distribution<std::size_t>(0, Bound - 1)(Random);
  }
  bool chance(unsigned Percent) { return randomBelow(100) < Percent; }

  disk_machine newMachine() {
    std::string Name = "d" + std::to_string(++NameCount);
    return {{Name, Name + ":1", "dc" + std::to_string(NameCount % 3)},
            Root + "/" + Name,
            std::nullopt,
            false};
  }

  void recordDisks() {
    disk_standin::recordDisk(
        Root, [this](const disk_standin::disk_operation &Operation) {
          for (auto &[Folder, Disk] : Disks)
            Disk.apply(Operation);
        });
  }

  template <typename Function>
  void changeDisk(const disk_machine &Machine, Function Change) {
    disk_standin::recordDisk({}, {});
    Change(Disks.at(Machine.Folder));
    recordDisks();
  }
  void wipeDisk(const disk_machine &Machine) {
    changeDisk(Machine, [](disk_standin::disk_image &Disk) { Disk.wipe(); });
  }

  void start(disk_machine &Machine, bool First) {
    Disks.try_emplace(Machine.Folder, Machine.Folder);
    log_recovery Recovery;
    auto Store =
        record_store::open({{Machine.Folder, 2048, 0}, First}, Now, Recovery);
    RC_ASSERT(Store.has_value());
    RC_ASSERT(!Recovery.Damaged);
    Machine.Core.emplace(Machine.Host, std::move(*Store), ++StartCount);
    Machine.Start = StartCount;
  }

  // The host receives the set from the platform.
  void deliverSet(disk_machine &Machine) {
    if (!IsSetLost && Machine.Core && Machine.Core->adoptSet(Stored))
      Machine.Core->sync();
  }

  disk_machine *findMachine(std::string_view Address) {
    for (disk_machine &Machine : Machines)
      if (Machine.Host.Address == Address && !Machine.Removed)
        return &Machine;
    return nullptr;
  }
  replica_core *runningCore(std::string_view Address) {
    disk_machine *Machine = findMachine(Address);
    bool Responds = Machine && Machine->Core && !Machine->IsCutOff;
    return Responds ? &*Machine->Core : nullptr;
  }

  set_view viewOf(disk_machine &Machine) {
    set_view View;
    View.Set = Machine.Core->set();
    View.Faults = 1;
    View.Self = Machine.Host;
    View.SelfCaughtUp = Machine.Core->caughtUp();
    for (disk_machine &Other : Machines) {
      if (Other.Removed)
        continue;
      View.Registered.push_back(Other.Host);
    }
    for (const disk_host &Host : View.Set.allMembers())
      if (!runningCore(Host.Address))
        View.Unresponsive.push_back(Host.Address);
    View.IsRegisteredSettled = true;
    View.Retiring = Retiring;
    return View;
  }

  disk_machine &randomMachine() {
    return Machines[randomBelow(Machines.size())];
  }

  // A disk may be lost, or a host cut off until records expire, only while all
  // other members have caught up and have completed their chains: the set
  // tolerates one lost member at a time.
  bool mayLose(const disk_machine &Lost) {
    for (const disk_host &Host : Stored.Members) {
      if (Host.Address == Lost.Host.Address)
        continue;
      disk_machine *Other = findMachine(Host.Address);
      if (!Other || !Other->Core || Other->IsCutOff ||
          !Other->Core->caughtUp() || Other->Core->index().missingCount() > 0)
        return false;
    }
    return true;
  }

  void dropAcks(const std::string &Address) {
    // Losing a disk and starting again takes longer than AckWindow, so the
    // client does not count older acknowledgements of this host together with
    // newer ones.
    for (pending_write &Write : Writes)
      std::erase(Write.AckedBy, Address);
    std::erase_if(Spends, [&](const pending_spend &) { return true; });
  }

  struct weighted_step {
    std::size_t Weight;
    void (disk_cluster::*Run)();
  };

  void runOneOf(std::span<const weighted_step> Steps) {
    std::size_t Sum = 0;
    for (const weighted_step &Step : Steps)
      Sum += Step.Weight;
    std::size_t Drawn = randomBelow(Sum);
    auto Step = Steps.begin();
    for (; Drawn >= Step->Weight; ++Step)
      Drawn -= Step->Weight;
    (this->*Step->Run)();
  }

  void runRandomStep() {
    using c = disk_cluster;
    static constexpr std::array<weighted_step, 7> Disruptions{
        {{1, &c::crash},
         {1, &c::wipe},
         {1, &c::replace},
         {1, &c::retire},
         {1, &c::losePower},
         {1, &c::loseSet},
         {1, &c::cutOff}}};
    static constexpr std::array<weighted_step, 12> Others{
        {{2, &c::restart},
         {1, &c::restoreSetUnreliably},
         {1, &c::deliverSetToOne},
         {2, &c::propose},
         {2, &c::copyUnreliably},
         {1, &c::beginWrite},
         {1, &c::beginSpend},
         {1, &c::checkRandomChain},
         {2, &c::passTime},
         {3, &c::appendTurn},
         {2, &c::appendSpend},
         {3, &c::deliver}}};
    if (chance(DisruptionPercent))
      runOneOf(Disruptions);
    else
      runOneOf(Others);
  }

  void deliverSetToOne() { deliverSet(randomMachine()); }

  void retire() {
    if (chance(20))
      Retiring = {randomMachine().Host.Name};
    finishRetirement();
  }

  void passTime() {
    if (chance(60)) {
      advance(milliseconds(randomBelow(LongestMessageMs)));
      return;
    }
    for (disk_machine &Machine : Machines)
      repairStoredChains(Machine, 100);
    advance(milliseconds(randomBelow(LongestPauseMs)));
  }

  void advance(milliseconds Pause) {
    Now = Now + Pause;
    std::erase_if(Spends, [&](const pending_spend &Spend) {
      return Now - Spend.BeganAt > LongestTurn;
    });
    std::erase_if(Granted,
                  [&](const auto &Row) { return Now >= Row.second.OwedUntil; });
    std::erase_if(Writes, [&](const pending_write &Write) {
      return Now - Write.BeganAt > LongestTurn;
    });
    std::erase_if(Acknowledged,
                  [&](const auto &Row) { return Now >= Row.second.OwedUntil; });
    for (disk_machine &Machine : Machines)
      if (Machine.Core)
        RC_ASSERT(Machine.Core->compact(Now));
  }

  // Cuts one host off at a time, from entry hosts too.
  void cutOff() {
    for (disk_machine &Machine : Machines)
      Machine.IsCutOff = false;
    disk_machine &Machine = randomMachine();
    Machine.IsCutOff = mayLose(Machine);
  }

  void repairStoredChains(disk_machine &Machine, unsigned ArrivalPercent) {
    if (!Machine.Core || Machine.Core->needsCopy())
      return;
    for (const std::string &Turn : Machine.Core->index().missingTurns())
      repair(Machine, Turn, ArrivalPercent);
    Machine.Core->sync();
  }

  void repair(disk_machine &Machine, const std::string &Turn,
              unsigned ArrivalPercent) {
    chain_repair Repairs(Machine.Host.Address);
    auto Deliver =
        [&](const std::string &Address,
            const copy_request &Request) -> std::optional<copy_reply> {
      replica_core *Source = runningCore(Address);
      if (!Source || Machine.IsCutOff || !chance(ArrivalPercent))
        return std::nullopt;
      return Source->copy(Request)->Value;
    };
    pvt::exchangeRepairs(Repairs, *Machine.Core,
                         Repairs.start(Turn, Machine.Core->set(), Now), Now,
                         Deliver);
  }

  void crash() {
    disk_machine &Machine = randomMachine();
    if (chance(50))
      writeWithoutSync(Machine);
    Machine.Core.reset();
  }

  // Reading a record writes what was appended.
  void writeWithoutSync(disk_machine &Machine) {
    if (!Machine.Core || Writes.empty())
      return;
    const pending_write &Write = Writes[randomBelow(Writes.size())];
    Machine.Core->close(requestFor(Write), Now);
    Machine.Core->chain({Write.Set, {}, {}, Write.Turn.Id});
  }

  // The power of one host, or of all.
  void losePower() {
    bool IsOfAll = chance(30);
    std::size_t One = randomBelow(Machines.size());
    for (std::size_t I = 0; I < Machines.size(); ++I)
      if (IsOfAll || I == One)
        losePower(Machines[I]);
  }

  void losePower(disk_machine &Machine) {
    if (Machine.Removed)
      return;
    if (chance(50))
      writeWithoutSync(Machine);
    Machine.Core.reset();
    std::mt19937_64 Loss(Random());
    changeDisk(Machine,
               [&](disk_standin::disk_image &Disk) { Disk.losePower(Loss); });
  }

  void restart() {
    disk_machine &Machine = randomMachine();
    if (Machine.Removed || Machine.Core)
      return;
    start(Machine, false);
    if (chance(80))
      deliverSet(Machine);
  }

  void wipe() {
    disk_machine &Machine = randomMachine();
    if (Machine.Removed || !mayLose(Machine))
      return;
    Machine.Core.reset();
    wipeDisk(Machine);
    dropAcks(Machine.Host.Address);
  }

  void replace() {
    disk_machine &Machine = randomMachine();
    if (Machine.Removed || !mayLose(Machine) || NameCount > 12)
      return;
    Machine.Core.reset();
    Machine.Removed = true;
    wipeDisk(Machine);
    dropAcks(Machine.Host.Address);
    Machines.push_back(newMachine());
    start(Machines.back(), false);
    deliverSet(Machines.back());
  }

  void finishRetirement() {
    if (Retiring.empty())
      return;
    for (disk_machine &Machine : Machines) {
      bool InSet = hasAddress(Stored.allMembers(), Machine.Host.Address);
      if (Machine.Host.Name != Retiring[0] || InSet || Machine.Removed)
        continue;
      Machine.Core.reset();
      Machine.Removed = true;
      wipeDisk(Machine);
      Machines.push_back(newMachine());
      start(Machines.back(), false);
      Retiring.clear();
      return;
    }
  }

  void propose() {
    disk_machine &Machine = randomMachine();
    if (!Machine.Core)
      return;
    auto Proposal = proposeSet(viewOf(Machine));
    if (!Proposal || IsSetLost || Proposal->Epoch != Stored.Epoch + 1)
      return;
    Stored = *Proposal;
    deliverSet(Machine);
  }

  // Another writer overwrites the set on the platform, often one that few hosts
  // know yet.
  void loseSet() {
    for (int I = 0; I < 3; ++I)
      propose();
    IsSetLost = true;
  }

  void restoreSetUnreliably() { restoreSet(randomMachine(), 70); }

  // A host that knows an older set asks its members, of which not all reply.
  void restoreSet(disk_machine &Machine, unsigned ArrivalPercent) {
    if (!IsSetLost || !Machine.Core || Machine.IsCutOff)
      return;
    replica_core &Core = *Machine.Core;
    set_restore Restore{milliseconds(0)};
    Restore.update(platform_set{}, Core.set(), Now);
    if (!Restore.isNeeded())
      return;
    Restore.onReply(Restore.round(), Machine.Host.Address, Core.set(),
                    Core.caughtUp());
    for (const disk_host &Host : Restore.set().Members) {
      replica_core *Member = runningCore(Host.Address);
      if (!Member || Member == &Core || !chance(ArrivalPercent))
        continue;
      ping_reply Reply = Member->ping(Machine.Host.Address, Core.pingRequest());
      Member->sync();
      Core.onPingReply(Host.Address, Reply);
      Core.sync();
      Restore.onReply(Restore.round(), Host.Address, Reply.Set, Reply.CaughtUp);
    }
    Restore.update(platform_set{}, Core.set(), Now);
    if (!Restore.isConfirmed(Now))
      return;
    Stored = restoredSet(Restore.set(), Random());
    IsSetLost = false;
  }

  void copyUnreliably() {
    disk_machine &Machine = randomMachine();
    if (!Machine.Core || !Machine.Core->needsCopy())
      return;
    replica_core &Core = *Machine.Core;
    for (auto &[Address, Request] : Core.copyRequests()) {
      pending_copy Copy{Machine.Start, Address, Request.Set.Epoch, {}};
      replica_core *Source = runningCore(Address);
      if (Source && chance(80)) {
        auto Reply = Source->copy(Request);
        if (Reply && (!Reply->NeedsSync || Source->sync()))
          Copy.Reply = Reply->Value;
      }
      Copies.push_back(std::move(Copy));
    }
    // Some replies arrive later, also after changes of the set.
    deliverCopies(60);
  }

  void deliverCopies(unsigned Percent) {
    std::vector<pending_copy> Later;
    for (pending_copy &Copy : std::exchange(Copies, {}))
      if (chance(Percent))
        deliverCopy(Copy);
      else
        Later.push_back(std::move(Copy));
    Copies = std::move(Later);
  }

  void deliverCopy(const pending_copy &Copy) {
    for (disk_machine &Machine : Machines) {
      if (!Machine.Core || Machine.Start != Copy.Target)
        continue;
      replica_core &Core = *Machine.Core;
      if (Copy.Reply)
        RC_ASSERT(Core.onCopyReply(Copy.Source, Copy.Epoch, *Copy.Reply, Now));
      Core.onCopyEnded(Copy.Source);
      if (Core.sync() && Core.finishCopy())
        Core.sync();
    }
  }

  // The set of an entry host, which may be outdated.
  disk_set chooseSet() {
    if (EntrySet.Epoch == 0 || chance(60))
      EntrySet = Stored;
    return EntrySet;
  }

  std::vector<std::string> shuffled(const disk_set &Set) {
    std::vector<std::string> Addresses;
    for (const disk_host &Host : Set.allMembers())
      Addresses.push_back(Host.Address);
    std::shuffle(Addresses.begin(), Addresses.end(), Random);
    return Addresses;
  }

  void beginWrite() {
    pending_write Write;
    Write.Set = chooseSet();
    Write.Turn.Id = "t" + std::to_string(++Turns);
    if (!Acknowledged.empty() && chance(70)) {
      auto Row = Acknowledged.begin();
      std::advance(
          Row, static_cast<std::ptrdiff_t>(randomBelow(Acknowledged.size())));
      // The chain is read before the turn begins.
      if (!readChain(Row->first, allIndices()))
        return;
      Write.Turn.Previous = Row->first;
      Write.Chain = Row->second.Chain;
    }
    Write.BeganAt = Now;
    Write.Turn.RetentionMs = RecordRetentionMs;
    Write.Turn.Input = "<" + Write.Turn.Id + ">";
    Write.Turn.Output = std::string(randomBelow(400), 'o');
    Write.Chain += Write.Turn.Input + Write.Turn.Output;
    Write.WriteTargets = shuffled(Write.Set);
    Writes.push_back(std::move(Write));
  }

  void beginSpend() {
    pending_spend Spend;
    Spend.Set = chooseSet();
    Spend.BeganAt = Now;
    Spend.Spend = {"p" + std::to_string(randomBelow(3)),
                   "a" + std::to_string(++Turns), TurnTokens, false,
                   RecordRetentionMs};
    Spend.WriteTargets = shuffled(Spend.Set);
    Spend.ReadTargets = shuffled(Spend.Set);
    Spend.Quorum = reservation_quorum(Spend.Set, TurnTokens, Budget);
    Spends.push_back(std::move(Spend));
  }

  // Writes a turn to as few members as it needs, so that the turns of a chain
  // are on different ones.
  void appendTurn() {
    beginWrite();
    std::string Id = "t" + std::to_string(Turns);
    while (!Writes.empty() && Writes.back().Turn.Id == Id)
      deliverWrite(Writes.size() - 1);
  }

  // Reserves tokens at as few members as it needs.
  void appendSpend() {
    beginSpend();
    std::string Attempt = Spends.back().Spend.Attempt;
    while (!Spends.empty() && Spends.back().Spend.Attempt == Attempt)
      deliverSpend(Spends.size() - 1);
  }

  void deliver() {
    if (!Writes.empty() && chance(60))
      deliverWrite(randomBelow(Writes.size()));
    else if (!Spends.empty())
      deliverSpend(randomBelow(Spends.size()));
  }

  static close_request requestFor(const pending_write &Write) {
    close_request Request;
    Request.Set = Write.Set;
    Request.HasTurn = true;
    Request.Turn = Write.Turn;
    return Request;
  }

  void deliverWrite(std::size_t Index) {
    pending_write &Write = Writes[Index];
    if (Write.WriteTargets.empty()) {
      Writes.erase(Writes.begin() + static_cast<std::ptrdiff_t>(Index));
      return;
    }
    std::string Address = Write.WriteTargets.back();
    Write.WriteTargets.pop_back();
    replica_core *Core = runningCore(Address);
    if (!Core)
      return;
    // Without a usable reply, the turn is stored without its chain.
    std::string Missing = Core->missingBefore(requestFor(Write));
    if (!Missing.empty())
      repair(*findMachine(Address), Missing, 80);
    auto Reply = Core->close(requestFor(Write), Now);
    if (Reply.Value.Status != 0 || chance(10) || !Core->sync())
      return;
    Write.AckedBy.push_back(Address);
    bool Kept = isWriteQuorum(Write.Set, [&](std::string_view Host) {
      return std::find(Write.AckedBy.begin(), Write.AckedBy.end(), Host) !=
             Write.AckedBy.end();
    });
    if (!Kept)
      return;
    Acknowledged[Write.Turn.Id] = {Write.Chain, Now + Retention};
    Writes.erase(Writes.begin() + static_cast<std::ptrdiff_t>(Index));
  }

  void deliverSpend(std::size_t Index) {
    pending_spend &Spend = Spends[Index];
    using decision = reservation_quorum::decision;
    if (Spend.WriteTargets.empty() && Spend.ReadTargets.empty()) {
      Spends.erase(Spends.begin() + static_cast<std::ptrdiff_t>(Index));
      return;
    }
    bool Reads = Spend.Quorum.decide(true) == decision::SecondRound;
    auto &Addresses = Reads ? Spend.ReadTargets : Spend.WriteTargets;
    if (Addresses.empty()) {
      Spends.erase(Spends.begin() + static_cast<std::ptrdiff_t>(Index));
      return;
    }
    std::string Address = Addresses.back();
    Addresses.pop_back();
    replica_core *Core = runningCore(Address);
    if (!Core)
      return;
    if (Reads) {
      Spend.Quorum.onSecondReply(
          Address,
          Core->spent(
              {Spend.Set, Spend.Spend.Program, Spend.Spend.Attempt, {}}));
    } else {
      open_request Request;
      Request.Set = Spend.Set;
      Request.Spend = Spend.Spend;
      Request.Budget = Budget;
      auto Reply = Core->open(Request, Now);
      if ((Reply.NeedsSync && !Core->sync()) || chance(10))
        return;
      Spend.Quorum.onReply(Address, Reply.Value);
    }
    if (Spend.Quorum.decide(true) != decision::Granted)
      return;
    granted_tokens &Program = Granted[Spend.Spend.Program];
    Program.Tokens += TurnTokens;
    Program.OwedUntil = Now + Retention;
    repairSpending(Spend);
    Spends.erase(Spends.begin() + static_cast<std::ptrdiff_t>(Index));
    checkBudgets();
  }

  void repairSpending(const pending_spend &Spend) {
    close_request Request;
    Request.Set = Spend.Set;
    for (const auto &Unknown : Spend.Quorum.unknownAttempts(Spend.Spend)) {
      replica_core *Core = runningCore(Unknown.Address);
      if (!Core)
        continue;
      Request.Spend = Unknown.Record;
      Core->close(Request, Now);
      Core->sync();
    }
  }

  void checkBudgets() {
    for (const auto &[Program, Spent] : Granted)
      RC_ASSERT(Spent.Tokens <= Budget);
  }

  // Reads the chain of a turn from hosts in the given order; nullopt if it is
  // incomplete.
  std::optional<std::string> readChain(const std::string &Id,
                                       const std::vector<std::size_t> &Order) {
    chain_search Search(Id);
    disk_set Set = EntrySet.Epoch > 0 && chance(30) ? EntrySet : Stored;
    for (int Round = 0; Round < 4 && !Search.isComplete(); ++Round)
      for (std::size_t I : Order) {
        if (I >= Machines.size() || !Machines[I].Core || Machines[I].IsCutOff)
          continue;
        const std::string &Address = Machines[I].Host.Address;
        if (!hasAddress(Set.allMembers(), Address))
          continue;
        std::string Wanted = Search.wanted();
        if (Wanted.empty())
          break;
        open_reply Reply = Machines[I].Core->chain({Set, {}, {}, Wanted});
        if (Reply.Status == 0)
          Search.onReply(Address, Wanted, Reply.CaughtUp, Reply.Chain);
        // An acknowledged turn is never reported as missing.
        RC_ASSERT(!Search.isAbsent(Set));
        RC_ASSERT(!Search.isBroken(Set));
      }
    if (!Search.isComplete())
      return std::nullopt;
    return Search.takeBytes();
  }

  std::vector<std::size_t> allIndices() const {
    std::vector<std::size_t> Order(Machines.size());
    std::iota(Order.begin(), Order.end(), 0);
    return Order;
  }

  void checkRandomChain() {
    if (Acknowledged.empty())
      return;
    auto Row = Acknowledged.begin();
    std::advance(Row,
                 static_cast<std::ptrdiff_t>(randomBelow(Acknowledged.size())));
    std::vector<std::size_t> Order = allIndices();
    std::shuffle(Order.begin(), Order.end(), Random);
    auto Chain = readChain(Row->first, Order);
    if (Chain)
      RC_ASSERT(*Chain == Row->second.Chain);
  }

  // Starts all hosts and runs copying and set changes until nothing is left to
  // do.
  void converge() {
    Retiring.clear();
    for (disk_machine &Machine : Machines)
      Machine.IsCutOff = false;
    deliverCopies(100);
    for (disk_machine &Machine : Machines)
      if (!Machine.Removed && !Machine.Core)
        start(Machine, false);
    for (int Round = 0; Round < 60; ++Round) {
      // The operator writes a joint set back.
      if (Round == RestoreRounds)
        IsSetLost = false;
      for (disk_machine &Machine : Machines) {
        if (!Machine.Core)
          continue;
        restoreSet(Machine, 100);
        deliverSet(Machine);
        catchUp(Machine);
        auto Proposal = proposeSet(viewOf(Machine));
        if (Proposal && !IsSetLost && Proposal->Epoch == Stored.Epoch + 1)
          Stored = *Proposal;
      }
    }
    EntrySet = Stored;
    for (const disk_host &Host : Stored.Members) {
      replica_core *Core = runningCore(Host.Address);
      RC_ASSERT(Core != nullptr);
      RC_ASSERT(Core->caughtUp());
    }
    RC_ASSERT(!Stored.isJoint());
  }

  void catchUp(disk_machine &Machine) {
    replica_core &Core = *Machine.Core;
    // As after a tick, and after the requests of the tick have ended.
    for (bool RetriesFailed : {true, false})
      if (Core.needsCopy())
        copyRecords(Core, RetriesFailed);
  }

  void copyRecords(replica_core &Core, bool RetriesFailed) {
    for (auto &[Address, Request] : Core.copyRequests(RetriesFailed)) {
      if (replica_core *Source = runningCore(Address))
        if (auto Reply = Source->copy(Request); Reply && Source->sync())
          Core.onCopyReply(Address, Request.Set.Epoch, Reply->Value, Now);
      Core.onCopyEnded(Address);
    }
    if (Core.sync() && Core.finishCopy())
      Core.sync();
  }

  std::mt19937 Random;
  std::string Root;
  unsigned DisruptionPercent = 0; ///< Of the steps.
  int NameCount = 0;
  std::uint64_t StartCount = 0;
  int Turns = 0;
  std::map<std::string, disk_standin::disk_image> Disks; ///< By folder.
  std::vector<disk_machine> Machines;
  disk_set Stored;        ///< The last set on the platform.
  bool IsSetLost = false; ///< Whether the platform no longer holds it.
  disk_set EntrySet;      ///< The set that an entry host knows.
  std::vector<std::string> Retiring;
  std::vector<pending_write> Writes;
  std::vector<pending_spend> Spends;
  std::vector<pending_copy> Copies;
  std::map<std::string, acknowledged_turn> Acknowledged; ///< By turn.
  time_point Now{1};
  std::map<std::string, granted_tokens> Granted;
};

} // namespace

TEST_CASE("nothing acknowledged is lost and no budget is overspent") {
  const char *Steps = std::getenv("KEEPER_FUZZ_STEPS");
  int Count = Steps ? std::atoi(Steps) : 400;
  if (const char *One = std::getenv("ONE_SEED")) {
    std::uint32_t Seed = std::strtoul(One, nullptr, 10);
    CHECK(rc::check([=] { disk_cluster(Seed).run(Count); }));
    return;
  }
  CHECK(rc::check(
      [Count](std::uint32_t Seed) { disk_cluster(Seed).run(Count); }));
}
