// Takeover of shards: the journal of a dead holder is sealed and replayed.

#include "shards_pvt.h"

#include "platform_objects_pvt.h"
#include "turmerichead/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace turmerichead::host_pvt {

using nlohmann::json;

void shard_keeper::startTakeover(const host_incarnation &Journal,
                                 std::vector<std::uint32_t> Shards) {
  if (Takeovers.contains(Journal)) {
    // Only one takeover of a journal at a time; these shards are listed again.
    for (std::uint32_t Shard : Shards)
      Rows[Shard].Phase = phase::Listing;
    return;
  }
  log::info("takeover begins", {{"journal", Journal.Host},
                                {"incarnation", Journal.Incarnation},
                                {"shards", Shards.size()}});
  takeover Takeover(
      Context.life(), Journal, Shards,
      [this](std::string_view Root) { return Context.shardOf(Root); });
  Takeover.start(steadyNow());
  Takeovers.emplace(Journal, takeover_row{std::move(Takeover),
                                          std::move(Shards), steadyNow()});
  pumpTakeover(Journal);
}

void shard_keeper::pumpTakeover(const host_incarnation &Journal) {
  auto Found = Takeovers.find(Journal);
  if (Found == Takeovers.end())
    return;
  for (const takeover_command &Command : Found->second.Takeover.takeCommands())
    carryOut(Journal, Command);
  if (Found->second.Takeover.done())
    finishTakeover(Journal);
}

void shard_keeper::carryOut(const host_incarnation &Journal,
                            const takeover_command &Command) {
  // Answers are matched to their takeover by the name of the journal.
  auto WithTakeover = [this, Journal](auto Action) {
    auto Found = Takeovers.find(Journal);
    if (Found == Takeovers.end())
      return;
    Action(Found->second.Takeover);
    pumpTakeover(Journal);
  };
  auto OnRead = guarded([WithTakeover](const platform_reply &Reply) {
    WithTakeover([&](takeover &Takeover) {
      Takeover.readObject(readResultOf(Reply.Outcome), bytesOf(Reply.Object),
                          steadyNow());
    });
  });
  auto OnList = [&](auto Keep) {
    return guarded([WithTakeover, Keep](const platform_list_reply &Reply) {
      std::vector<std::string> Names;
      for (const json &Item : Reply.Items)
        Names.push_back(nameOfObject(Item));
      Keep(Names);
      WithTakeover([&](takeover &Takeover) {
        Takeover.listed(Reply.Outcome == platform_outcome::Ok, Names,
                        steadyNow());
      });
    });
  };
  if (const auto *List = std::get_if<list_snapshots>(&Command)) {
    std::string Prefix = snapshotPrefix(List->Shard);
    listManifests(OnList([this, Prefix](std::vector<std::string> &Names) {
      std::erase_if(Names, [&](const std::string &Name) {
        return !Name.starts_with(Prefix);
      });
      ManifestNames.insert(Names.begin(), Names.end());
    }));
  } else if (std::get_if<list_segments>(&Command)) {
    Context.Platform->list(SegmentsPlural,
                           OnList([Journal](std::vector<std::string> &Names) {
                             std::erase_if(Names, [&](const std::string &Name) {
                               return !segmentNumber(Journal, Name);
                             });
                           }));
  } else if (const auto *Read = std::get_if<read_snapshot>(&Command)) {
    std::string_view Plural =
        ManifestNames.contains(Read->Name) ? ManifestsPlural : SnapshotsPlural;
    Context.Platform->get(Plural, Read->Name, OnRead);
  } else if (const auto *ReadOne = std::get_if<read_segment>(&Command)) {
    Context.Platform->get(SegmentsPlural, ReadOne->Name, OnRead);
  } else if (const auto *Create = std::get_if<create_segment>(&Command)) {
    Context.Platform->create(
        SegmentsPlural, binaryObject(Create->Name, Create->Bytes),
        guarded([WithTakeover](const platform_reply &Reply) {
          WithTakeover([&](takeover &Takeover) {
            Takeover.created(createResultOf(Reply.Outcome), steadyNow());
          });
        }));
  } else if (const auto *Close = std::get_if<close_standby>(&Command)) {
    auto Reply = std::make_shared<std::optional<close_reply>>();
    Context.Links->send(
        Close->Standby.Host,
        {.Path = std::string(ClosePath),
         .Headers = {},
         .Body = pack(close_message{Close->Standby, Close->Journal})},
        {.OnMessage =
             [Reply](std::string_view Bytes) {
               *Reply = unpack<close_reply>(Bytes);
             },
         .OnEnd = guarded([WithTakeover, Reply](const peer_result &) {
           WithTakeover([&](takeover &Takeover) {
             std::vector<journal_entry> Entries;
             if (*Reply)
               Entries = std::move((*Reply)->Entries);
             Takeover.tail(Reply->has_value(), Entries, steadyNow());
           });
         })});
  } else if (const auto *Drop = std::get_if<drop_standby_entries>(&Command)) {
    Context.Links->send(
        Drop->Standby.Host,
        {.Path = std::string(SealedPath),
         .Headers = {},
         .Body = pack(close_message{Drop->Standby, Drop->Journal})},
        {});
  }
}

void shard_keeper::finishTakeover(const host_incarnation &Journal) {
  auto Found = Takeovers.find(Journal);
  takeover_row Row = std::move(Found->second);
  Takeovers.erase(Found);
  milliseconds Took = steadyNow() - Row.StartedAt;
  log::info("takeover complete",
            {{"journal", Journal.Host},
             {"shards", Row.Shards.size()},
             {"took_ms", Took.count()},
             {"tail_missing", Row.Takeover.tailMissing()}});
  Context.Metrics.observe("takeover_ms", "", static_cast<double>(Took.count()));
  if (Context.Recorder)
    Context.Recorder->repaired("host " + Journal.Host + " replaced, " +
                                   std::to_string(Row.Shards.size()) +
                                   " shards taken over by " + Context.self(),
                               wallNowMs(), Took);
  for (shard_takeover &Shard : Row.Takeover.takeResult()) {
    shard_row *Open = find(Shard.Shard, phase::Loading);
    if (Open && Shard.OtherJournal)
      Open->Phase = phase::Listing;
    else if (Open)
      writeFirst(Shard.Shard, std::move(Shard.Rows), std::move(Shard.Manifest));
  }
}

} // namespace turmerichead::host_pvt
