#include "assignment_pvt.h"

#include "turmerichead/hash.h"

#include <algorithm>
#include <map>

namespace turmerichead::pvt {

std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Host) {
  return hash64(Host, hash64(Key));
}

namespace {

std::string shardKey(std::size_t Shard) {
  return "shard-" + std::to_string(Shard);
}

/// Moves shards between holders until the load is even.
class holder_assignment {
public:
  explicit holder_assignment(shard_map &Map) : Map(Map) {
    for (const host_record &Host : Map.Hosts)
      if (Host.State == host_state::Live)
        Load[Host.Id] = 0;
    for (const shard_placement &Shard : Map.Shards)
      if (auto Found = Load.find(Shard.Holder); Found != Load.end())
        ++Found->second;
  }

  void run() {
    if (Load.empty()) {
      for (std::size_t I = 0; I < Map.Shards.size(); ++I)
        move(I, "");
      return;
    }
    releaseOverload();
    placeFree();
    fillUnderload();
  }

private:
  std::size_t floorLoad() const { return Map.Shards.size() / Load.size(); }
  std::size_t ceilLoad() const {
    return (Map.Shards.size() + Load.size() - 1) / Load.size();
  }
  bool hasRoom(const std::string &Host, std::size_t Limit) const {
    auto Found = Load.find(Host);
    return Found != Load.end() && Found->second < Limit;
  }

  /// Returns how many shards a host may have once \p Free more are placed.
  /// While hosts below the even load need all free shards, only those hosts get
  /// any, which avoids moves between the others.
  std::size_t limitFor(std::size_t Free) const {
    std::size_t Missing = 0;
    for (const auto &[Host, Count] : Load)
      Missing += floorLoad() - std::min(floorLoad(), Count);
    return Free <= Missing ? floorLoad() : ceilLoad();
  }

  void move(std::size_t Shard, const std::string &To) {
    shard_placement &Row = Map.Shards[Shard];
    if (Row.Holder == To)
      return;
    if (auto From = Load.find(Row.Holder); From != Load.end())
      --From->second;
    if (auto Target = Load.find(To); Target != Load.end())
      ++Target->second;
    Row.Holder = To;
    Row.HeldSince = Map.Version;
  }

  /// Takes shards from hosts above the even load, in ascending order of the
  /// weight of the host.
  void releaseOverload() {
    for (auto &[Host, Count] : Load) {
      if (Count <= ceilLoad())
        continue;
      auto Held = shardsByWeight(Host, Host);
      std::size_t Excess = Count - ceilLoad();
      for (std::size_t I = 0; I < Excess; ++I)
        move(Held[I], "");
    }
  }

  /// Prefers a standby, which may have records of the shard.
  void placeFree() {
    std::vector<std::size_t> Free;
    for (std::size_t I = 0; I < Map.Shards.size(); ++I)
      if (!Load.contains(Map.Shards[I].Holder))
        Free.push_back(I);
    for (std::size_t I = 0; I < Free.size(); ++I)
      place(Free[I], limitFor(Free.size() - I));
  }

  void place(std::size_t Shard, std::size_t Limit) {
    std::string Target;
    for (const std::string &Standby : Map.Shards[Shard].Standbys)
      if (hasRoom(Standby, Limit) &&
          (Target.empty() || Load[Standby] < Load[Target]))
        Target = Standby;
    move(Shard, Target.empty() ? heaviestWithRoom(Shard, Limit) : Target);
  }

  std::string heaviestWithRoom(std::size_t Shard, std::size_t Limit) const {
    std::string Result;
    std::uint64_t Best = 0;
    std::string Key = shardKey(Shard);
    for (const auto &[Host, Count] : Load) {
      if (Count >= Limit)
        continue;
      std::uint64_t Weight = rendezvousWeight(Key, Host);
      if (Result.empty() || Weight > Best) {
        Best = Weight;
        Result = Host;
      }
    }
    return Result;
  }

  void fillUnderload() {
    for (auto &[Host, Count] : Load)
      while (Count < floorLoad()) {
        auto Most = std::max_element(Load.begin(), Load.end(),
                                     [](const auto &Left, const auto &Right) {
                                       return Left.second < Right.second;
                                     });
        auto Held = shardsByWeight(Most->first, Host);
        move(Held.back(), Host);
      }
  }

  /// Returns the shards of \p Holder in ascending order of the weight of \p
  /// Host.
  std::vector<std::size_t> shardsByWeight(const std::string &Holder,
                                          const std::string &Host) const {
    std::vector<std::pair<std::uint64_t, std::size_t>> Weighted;
    for (std::size_t I = 0; I < Map.Shards.size(); ++I)
      if (Map.Shards[I].Holder == Holder)
        Weighted.emplace_back(rendezvousWeight(shardKey(I), Host), I);
    std::sort(Weighted.begin(), Weighted.end());
    std::vector<std::size_t> Result;
    Result.reserve(Weighted.size());
    for (const auto &[Weight, Shard] : Weighted)
      Result.push_back(Shard);
    return Result;
  }

  shard_map &Map;
  std::map<std::string, std::size_t, std::less<>> Load;
};

/// Chooses standbys, preferably in other data centres of the holder's region.
class standby_assignment {
public:
  explicit standby_assignment(shard_map &Map) : Map(Map) {
    for (const host_record &Host : Map.Hosts)
      if (Host.State != host_state::Leaving)
        Candidates.push_back(&Host);
  }

  void run() {
    for (std::size_t I = 0; I < Map.Shards.size(); ++I)
      choose(I);
  }

private:
  /// Lower values are preferred.
  enum class tier : std::uint8_t {
    SameRegion,   ///< Another data centre of the region.
    OtherRegion,  ///< Another data centre.
    SharedCentre, ///< In the data centre of the other standby.
    HolderCentre, ///< In the data centre of the holder.
    Unusable
  };

  tier tierOf(const host_record *Host, const host_record &Holder,
              const host_record *Other) const {
    if (!Host || Host->State == host_state::Leaving || Host == &Holder ||
        Host == Other)
      return tier::Unusable;
    if (Host->DataCentre == Holder.DataCentre)
      return tier::HolderCentre;
    if (Other && Host->DataCentre == Other->DataCentre)
      return tier::SharedCentre;
    return Host->Region == Holder.Region ? tier::SameRegion : tier::OtherRegion;
  }

  void choose(std::size_t Shard) {
    shard_placement &Row = Map.Shards[Shard];
    const host_record *Holder = Map.find(Row.Holder);
    if (!Holder) {
      Row.Standbys = {};
      return;
    }
    const host_record *First = pick(Shard, *Holder, nullptr, Row.Standbys[0]);
    // The second standby may become the first, which avoids a swap.
    const host_record *Second = pick(Shard, *Holder, First, Row.Standbys[1]);
    Row.Standbys = {First ? First->Id : "", Second ? Second->Id : ""};
  }

  const host_record *pick(std::size_t Shard, const host_record &Holder,
                          const host_record *Other,
                          const std::string &Current) const {
    const host_record *Kept = Map.find(Current);
    if (tierOf(Kept, Holder, Other) == tier::SameRegion)
      return Kept; // No host is better, so the search can be skipped.
    const host_record *Best = nullptr;
    tier BestTier = tier::Unusable;
    std::uint64_t BestWeight = 0;
    std::string Key = shardKey(Shard);
    for (const host_record *Host : Candidates) {
      tier Tier = tierOf(Host, Holder, Other);
      if (Tier == tier::Unusable || Tier > BestTier)
        continue;
      std::uint64_t Weight = rendezvousWeight(Key, Host->Id);
      if (!Best || Tier < BestTier || Weight > BestWeight) {
        Best = Host;
        BestTier = Tier;
        BestWeight = Weight;
      }
    }
    bool KeepsTier = Best && tierOf(Kept, Holder, Other) == BestTier;
    return KeepsTier ? Kept : Best;
  }

  shard_map &Map;
  std::vector<const host_record *> Candidates;
};

} // namespace

void assignShards(shard_map &Map) {
  holder_assignment(Map).run();
  standby_assignment(Map).run();
}

} // namespace turmerichead::pvt
