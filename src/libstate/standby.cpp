#include "turmerichead/error.h"
#include "turmerichead/state_journal.h"

namespace turmerichead {

std::optional<std::uint64_t>
standby_store::append(const host_incarnation &Origin, std::uint64_t OnPlatform,
                      std::span<const journal_entry> Entries) {
  origin_row &Row = Origins[Origin];
  if (Row.Closed)
    return fail(error_code::Fenced, "the tail was given to a successor");
  trimRow(Row, OnPlatform);
  for (const journal_entry &Entry : Entries) {
    std::uint64_t Last =
        Row.Entries.empty() ? Row.Trimmed : Row.Entries.back().Sequence;
    if (Entry.Sequence <= Last)
      continue;
    if (Entry.Sequence != Last + 1)
      return fail(error_code::Refused, "an earlier entry is missing");
    if (Bytes + Entry.Bytes.size() > MaxBytes)
      return fail(error_code::Refused, "the standby's buffer is full");
    Row.Entries.push_back(Entry);
    Bytes += Entry.Bytes.size();
  }
  return Row.Entries.empty() ? Row.Trimmed : Row.Entries.back().Sequence;
}

void standby_store::trimRow(origin_row &Row, std::uint64_t UpTo) {
  while (!Row.Entries.empty() && Row.Entries.front().Sequence <= UpTo) {
    Bytes -= Row.Entries.front().Bytes.size();
    Row.Entries.pop_front();
  }
  if (Row.Trimmed < UpTo)
    Row.Trimmed = UpTo;
}

void standby_store::trim(const host_incarnation &Origin, std::uint64_t UpTo) {
  auto Found = Origins.find(Origin);
  if (Found != Origins.end())
    trimRow(Found->second, UpTo);
}

std::vector<journal_entry>
standby_store::close(const host_incarnation &Origin) {
  origin_row &Row = Origins[Origin];
  Row.Closed = true;
  return {Row.Entries.begin(), Row.Entries.end()};
}

void standby_store::sealed(const host_incarnation &Origin) {
  origin_row &Row = Origins[Origin];
  Row.Closed = true;
  trimRow(Row, UINT64_MAX);
}

} // namespace turmerichead
