#include "turmerichead/state_journal.h"

#include "turmerichead/codec.h"
#include "turmerichead/error.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace turmerichead {

namespace {

constexpr std::size_t MaxEntriesPerSegment = 4096;
constexpr std::size_t MaxSegmentDepth = 8;

std::string prefixOf(const host_incarnation &Journal) {
  return Journal.Host + "." + std::to_string(Journal.Incarnation) + ".";
}

} // namespace

// -- Names and encoding --

std::string segmentName(const host_incarnation &Journal, std::uint64_t Number) {
  return prefixOf(Journal) + std::to_string(Number);
}

std::optional<std::uint64_t> segmentNumber(const host_incarnation &Journal,
                                           std::string_view Name) {
  std::string Prefix = prefixOf(Journal);
  if (!Name.starts_with(Prefix))
    return std::nullopt;
  Name.remove_prefix(Prefix.size());
  std::uint64_t Number = 0;
  auto [End, Error] =
      std::from_chars(Name.data(), Name.data() + Name.size(), Number);
  if (Error != std::errc() || End != Name.data() + Name.size())
    return std::nullopt;
  return Number;
}

std::string tailName(const host_incarnation &Journal,
                     const host_incarnation &Successor, std::uint32_t Index) {
  return prefixOf(Journal) + "tail." + prefixOf(Successor) +
         std::to_string(Index);
}

std::string encodeSegment(const journal_segment &Segment) {
  return pack(Segment);
}

std::optional<journal_segment> decodeSegment(std::string_view Bytes) {
  return unpackWithin<journal_segment>(Bytes,
                                       {MaxEntriesPerSegment,
                                        MaxEntriesPerSegment, Bytes.size(),
                                        Bytes.size(), 0, MaxSegmentDepth},
                                       "segment");
}

// -- Input --

journal_writer::journal_writer(host_incarnation Self, journal_settings Settings)
    : Self(std::move(Self)), Settings(Settings) {}

void journal_writer::append(const record &Record, std::uint64_t Ticket,
                            time_point Now) {
  if (State == state::Fenced)
    return;
  std::string Bytes = encodeRecord(Record);
  UnwrittenBytes += Bytes.size();
  std::size_t Offset = 0;
  do {
    std::size_t Size = std::min(MaxEntryBytes, Bytes.size() - Offset);
    bool Continues = Offset + Size < Bytes.size();
    Unwritten.push_back(
        {++LastSequence, Continues, Bytes.substr(Offset, Size)});
    Offset += Size;
  } while (Offset < Bytes.size());
  Tickets.push_back({LastSequence, Ticket});
  if (Buffering) {
    sendToStandbys(Now);
    updateAvailability(Now);
  }
}

void journal_writer::setStandbys(std::vector<host_incarnation> Names,
                                 time_point Now) {
  if (State == state::Fenced)
    return;
  for (standby_row &Row : Standbys)
    Row.Retiring =
        std::find(Names.begin(), Names.end(), Row.Host) == Names.end();
  for (host_incarnation &Name : Names) {
    bool Known = std::any_of(Standbys.begin(), Standbys.end(),
                             [&](const auto &Row) { return Row.Host == Name; });
    if (!Known)
      Standbys.push_back(
          {std::move(Name), false, OnPlatform, false, false, Now});
  }
  StandbysChanged = true;
  if (Buffering)
    sendToStandbys(Now);
}

// -- Segments --

bool journal_writer::segmentDue(time_point Now) const {
  bool HasWork = !Unwritten.empty() || StandbysChanged;
  return State == state::Idle && HasWork &&
         Now >= LastWriteAt + Settings.CommitInterval;
}

void journal_writer::startSegment(time_point Now) {
  journal_segment Segment;
  Segment.Writer = Self;
  for (const standby_row &Row : Standbys)
    if (!Row.Retiring)
      Segment.Standbys.push_back(Row.Host);
  StandbysInFlight = std::exchange(StandbysChanged, false);
  std::size_t Bytes = 0;
  LastInSegment = OnPlatform;
  for (const journal_entry &Entry : Unwritten) {
    Bytes += Entry.Bytes.size() + 16;
    bool Full = Bytes > MaxSegmentBytes ||
                Segment.Entries.size() == MaxEntriesPerSegment;
    if (Full && !Segment.Entries.empty())
      break;
    Segment.Entries.push_back(Entry);
    LastInSegment = Entry.Sequence;
  }
  SegmentBytes = encodeSegment(Segment);
  FirstTriedAt = Buffering ? FirstTriedAt : Now;
  create(Now);
}

void journal_writer::create(time_point Now) {
  State = state::Creating;
  LastWriteAt = Now;
  Commands.emplace_back(
      create_segment{segmentName(Self, SegmentNumber), SegmentBytes});
}

void journal_writer::created(create_result Result, time_point Now) {
  if (State != state::Creating)
    return;
  if (Result == create_result::Created)
    return finishSegment(Now);
  if (Result == create_result::Exists) {
    // Either an own write whose answer was lost, or a successor's seal.
    State = state::Reading;
    Commands.emplace_back(read_segment{segmentName(Self, SegmentNumber)});
    return;
  }
  State = state::Backoff;
  RetryAt = Now + Settings.RetryInterval;
}

void journal_writer::read(read_result Result, std::string_view Bytes,
                          time_point Now) {
  if (State != state::Reading)
    return;
  if (Result == read_result::Found && Bytes == SegmentBytes)
    return finishSegment(Now);
  if (Result == read_result::Found) {
    State = state::Fenced;
    Unwritten.clear();
    Tickets.clear();
    UnwrittenBytes = 0;
    Commands.emplace_back(journal_fenced{});
    return;
  }
  State = state::Backoff;
  RetryAt = Now + Settings.RetryInterval;
}

void journal_writer::finishSegment(time_point Now) {
  State = state::Idle;
  LastOfSegment[SegmentNumber] = LastInSegment;
  ++SegmentNumber;
  OnPlatform = LastInSegment;
  while (!Unwritten.empty() && Unwritten.front().Sequence <= OnPlatform) {
    UnwrittenBytes -= Unwritten.front().Bytes.size();
    Unwritten.pop_front();
  }
  bool WasBuffering = std::exchange(Buffering, false);
  if (std::exchange(StandbysInFlight, false) && !StandbysChanged)
    adoptStandbys();
  for (standby_row &Row : Standbys) {
    if (Row.Acked > 0 && Row.Acked <= OnPlatform)
      Commands.emplace_back(trim_standby{Row.Host, OnPlatform});
    Row.Failed = false;
  }
  commitTo(OnPlatform);
  if (WasBuffering || !Available)
    updateAvailability(Now);
}

void journal_writer::adoptStandbys() {
  std::erase_if(Standbys, [](const auto &Row) { return Row.Retiring; });
  StandbysRecorded = !Standbys.empty();
}

void journal_writer::commitTo(std::uint64_t Sequence) {
  if (Sequence <= Committed)
    return;
  Committed = Sequence;
  std::uint64_t Before = CommittedTicket;
  while (!Tickets.empty() && Tickets.front().Sequence <= Committed) {
    CommittedTicket = Tickets.front().Ticket;
    CommittedRecordEnd = Tickets.front().Sequence;
    Tickets.pop_front();
  }
  if (CommittedTicket != Before)
    Commands.emplace_back(journal_committed{CommittedTicket});
}

std::uint64_t journal_writer::firstSegmentAfter(std::uint64_t Sequence) const {
  for (const auto &[Number, Last] : LastOfSegment)
    if (Last > Sequence)
      return Number;
  return SegmentNumber;
}

void journal_writer::dropSegmentsBefore(std::uint64_t Segment) {
  LastOfSegment.erase(LastOfSegment.begin(),
                      LastOfSegment.lower_bound(Segment));
}

// -- Outage --

void journal_writer::startBuffering(time_point Now) {
  Buffering = true;
  sendToStandbys(Now);
  updateAvailability(Now);
}

void journal_writer::sendToStandbys(time_point Now) {
  for (standby_row &Row : Standbys) {
    if (Row.InFlight || Row.Failed)
      continue;
    send_to_standby Out{Row.Host, OnPlatform, {}};
    std::size_t Bytes = 0;
    for (const journal_entry &Entry : Unwritten) {
      if (Entry.Sequence <= Row.Acked)
        continue;
      Bytes += Entry.Bytes.size();
      if (Bytes > MaxSegmentBytes && !Out.Entries.empty())
        break;
      Out.Entries.push_back(Entry);
    }
    if (Out.Entries.empty())
      continue;
    Row.InFlight = true;
    Row.SentAt = Now;
    Commands.emplace_back(std::move(Out));
  }
}

void journal_writer::standbyAnswered(const host_incarnation &Standby,
                                     std::optional<std::uint64_t> UpTo,
                                     time_point Now) {
  if (State == state::Fenced)
    return;
  for (standby_row &Row : Standbys) {
    if (Row.Host != Standby)
      continue;
    Row.InFlight = false;
    Row.Failed = !UpTo;
    Row.SentAt = Now;
    if (UpTo)
      Row.Acked = std::max(Row.Acked, *UpTo);
  }
  updateAvailability(Now);
  if (!StandbysRecorded)
    return;
  // A successor asks only one standby, so an entry counts as committed only
  // when all of them hold it.
  std::uint64_t LowestAcked = UINT64_MAX;
  for (const standby_row &Row : Standbys)
    LowestAcked = std::min(LowestAcked, Row.Acked);
  commitTo(std::min(LowestAcked, LastSequence));
  if (Buffering)
    sendToStandbys(Now);
}

// Records can be committed except during an outage in which the standbys do not
// accept them.
void journal_writer::updateAvailability(time_point Now) {
  (void)Now;
  bool CanCommit = true;
  if (Buffering) {
    CanCommit = StandbysRecorded && UnwrittenBytes <= Settings.MaxBufferBytes;
    for (const standby_row &Row : Standbys)
      CanCommit = CanCommit && !Row.Failed;
  }
  if (CanCommit == Available)
    return;
  Available = CanCommit;
  Commands.emplace_back(journal_availability{CanCommit});
}

// -- Timers --

void journal_writer::tick(time_point Now) {
  if (State == state::Fenced)
    return;
  if (State == state::Backoff && Now >= RetryAt)
    create(Now);
  if (segmentDue(Now))
    startSegment(Now);
  bool TimedOut = State != state::Idle && !Buffering &&
                  Now >= FirstTriedAt + Settings.OutageTimeout;
  if (TimedOut)
    startBuffering(Now);
  if (!Buffering)
    return;
  for (standby_row &Row : Standbys) {
    if (Row.InFlight && Now >= Row.SentAt + Settings.StandbyTimeout) {
      Row.InFlight = false;
      Row.Failed = true;
      Row.SentAt = Now;
    } else if (Row.Failed && Now >= Row.SentAt + Settings.RetryInterval) {
      // Sends again. The standby counts as failed until it answers.
      Row.Failed = false;
      sendToStandbys(Now);
      Row.Failed = true;
      Row.SentAt = Now;
    }
  }
  updateAvailability(Now);
}

std::optional<time_point> journal_writer::nextDue() const {
  if (State == state::Fenced)
    return std::nullopt;
  std::optional<time_point> Due;
  auto Consider = [&](time_point At) { Due = Due ? std::min(*Due, At) : At; };
  if (State == state::Idle && (!Unwritten.empty() || StandbysChanged))
    Consider(LastWriteAt + Settings.CommitInterval);
  if (State == state::Backoff)
    Consider(RetryAt);
  if (State != state::Idle && !Buffering)
    Consider(FirstTriedAt + Settings.OutageTimeout);
  if (Buffering)
    for (const standby_row &Row : Standbys) {
      if (Row.InFlight)
        Consider(Row.SentAt + Settings.StandbyTimeout);
      else if (Row.Failed)
        Consider(Row.SentAt + Settings.RetryInterval);
    }
  return Due;
}

std::vector<journal_command> journal_writer::takeCommands() {
  return std::exchange(Commands, {});
}

} // namespace turmerichead
