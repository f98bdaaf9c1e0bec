#include "cache_pvt.h"

#include <algorithm>

namespace turmerichead::sched::pvt {

program_id cache_directory::intern(std::string_view Program) {
  auto Found = Names.find(Program);
  if (Found != Names.end())
    return Found->second;
  program_row Row;
  Row.Name = std::string(Program);
  program_id Id = Programs.insert(std::move(Row));
  Names.emplace(std::string(Program), Id);
  return Id;
}

std::optional<program_id>
cache_directory::find(std::string_view Program) const {
  auto Found = Names.find(Program);
  if (Found == Names.end())
    return std::nullopt;
  return Found->second;
}

token_count cache_directory::tokensAt(program_id Id, runner_id Runner) const {
  const program_row *Row = Programs.find(Id);
  if (!Row)
    return 0;
  auto Found = std::ranges::find(Row->Copies, Runner, &cached_copy::Runner);
  return Found == Row->Copies.end() ? 0 : Found->Tokens;
}

void cache_directory::addUsage(const program_row &Row, token_count Tokens) {
  UsedByRank[indexOf(Row.Rank)] += Tokens;
}

void cache_directory::setRank(program_id Id, rank Rank) {
  program_row *Row = Programs.find(Id);
  if (!Row || Row->Rank == Rank)
    return;
  token_count Tokens = 0;
  for (const cached_copy &Copy : Row->Copies)
    Tokens += Copy.Tokens;
  addUsage(*Row, -Tokens);
  Row->Rank = Rank;
  addUsage(*Row, Tokens);
}

void cache_directory::store(program_id Id, runner_id Runner, token_count Tokens,
                            time_point Now) {
  program_row *Row = Programs.find(Id);
  if (!Row)
    return;
  runner_use &Use = Runners[Runner];
  auto Found = std::ranges::find(Row->Copies, Runner, &cached_copy::Runner);
  if (Found == Row->Copies.end()) {
    Row->Copies.push_back({Runner, Tokens, Now});
    Use.Programs.push_back(Id);
    Use.Used += Tokens;
    addUsage(*Row, Tokens);
    return;
  }
  Use.Used += Tokens - Found->Tokens;
  addUsage(*Row, Tokens - Found->Tokens);
  Found->Tokens = Tokens;
  Found->LastUse = Now;
}

void cache_directory::drop(program_id Id, runner_id Runner) {
  program_row *Row = Programs.find(Id);
  if (!Row)
    return;
  auto Found = std::ranges::find(Row->Copies, Runner, &cached_copy::Runner);
  if (Found == Row->Copies.end())
    return;
  runner_use &Use = Runners[Runner];
  Use.Used -= Found->Tokens;
  addUsage(*Row, -Found->Tokens);
  std::erase(Use.Programs, Id);
  Row->Copies.erase(Found);
}

void cache_directory::dropRunner(runner_id Runner) {
  auto Found = Runners.find(Runner);
  if (Found == Runners.end())
    return;
  std::vector<program_id> Cached = Found->second.Programs;
  for (program_id Id : Cached) {
    drop(Id, Runner);
    eraseIfIdle(Id);
  }
  Runners.erase(Runner);
}

std::vector<program_id>
cache_directory::programTree(std::string_view Root) const {
  std::vector<program_id> Ids;
  if (auto Own = find(Root))
    Ids.push_back(*Own);
  std::string Prefix = std::string(Root) + "/";
  for (auto I = Names.lower_bound(Prefix);
       I != Names.end() && I->first.starts_with(Prefix); ++I)
    Ids.push_back(I->second);
  return Ids;
}

void cache_directory::eraseIfIdle(program_id Id) {
  const program_row *Row = Programs.find(Id);
  if (!Row || Row->Active > 0 || !Row->Copies.empty())
    return;
  Names.erase(Row->Name);
  Programs.erase(Id);
}

token_count cache_directory::usedAt(runner_id Runner) const {
  auto Found = Runners.find(Runner);
  return Found == Runners.end() ? 0 : Found->second.Used;
}

std::span<const program_id>
cache_directory::programsAt(runner_id Runner) const {
  auto Found = Runners.find(Runner);
  if (Found == Runners.end())
    return {};
  return Found->second.Programs;
}

std::vector<copy_location>
cache_directory::excessCopies(runner_id Runner, token_count Limit) const {
  std::vector<copy_location> Excess;
  token_count Used = usedAt(Runner);
  if (Used <= Limit)
    return Excess;
  std::vector<const program_row *> Idle;
  for (program_id Id : programsAt(Runner))
    if (const program_row *Row = Programs.find(Id); Row && Row->Active == 0)
      Idle.push_back(Row);
  std::ranges::sort(Idle,
                    [](const program_row *Left, const program_row *Right) {
                      return Left->ExpectedResume > Right->ExpectedResume;
                    });
  for (const program_row *Row : Idle) {
    if (Used <= Limit)
      break;
    program_id Id = Names.find(Row->Name)->second;
    Used -= tokensAt(Id, Runner);
    Excess.push_back({Id, Runner});
  }
  return Excess;
}

} // namespace turmerichead::sched::pvt
