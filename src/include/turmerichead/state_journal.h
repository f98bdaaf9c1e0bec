/// \file
/// The journal of a holder: records in segments that are created only if
/// absent, and the buffer that its standbys keep while the platform is down.
///
/// All classes are step functions: inputs come as calls, commands go out
/// through takeCommands(), and the daemon carries them out.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/state_records.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead {

/// Largest encoded segment, in bytes; its base64 text stays below 1 MB.
inline constexpr std::size_t MaxSegmentBytes = std::size_t{700} << 10;

/// Longer records are split into entries of this size.
inline constexpr std::size_t MaxEntryBytes = std::size_t{256} << 10;

/// One encoded record, or a part of it, with its place in the writer's order.
struct journal_entry {
  std::uint64_t Sequence = 0; ///< From 1 within a host's life, without gaps.
  bool Continues = false;     ///< The record goes on in the next entry.
  std::string Bytes;          ///< encodeRecord().
  MSGPACK_DEFINE(Sequence, Continues, Bytes)
};

/// The content of one segment object. A segment with \c Sealed ends the
/// journal: it was created by a successor.
struct journal_segment {
  host_incarnation Writer; ///< Who created it.
  /// Who may hold entries after this segment's during an outage.
  std::vector<host_incarnation> Standbys;
  std::vector<journal_entry> Entries;
  bool Sealed = false;
  /// Of a seal: objects in the plural `segments` with the standby's entries.
  std::vector<std::string> TailObjects;
  bool TailMissing = false; ///< No standby answered: entries may be lost.
  MSGPACK_DEFINE(Writer, Standbys, Entries, Sealed, TailObjects, TailMissing)
};

std::string encodeSegment(const journal_segment &Segment);
/// std::nullopt with error Corrupt where \p Bytes are no segment.
std::optional<journal_segment> decodeSegment(std::string_view Bytes);

/// "<host>.<incarnation>.<n>"; n counts from 1.
std::string segmentName(const host_incarnation &Journal, std::uint64_t Number);
/// The number in a segment's name; std::nullopt for other names.
std::optional<std::uint64_t> segmentNumber(const host_incarnation &Journal,
                                           std::string_view Name);
/// The name of a tail object that \p Successor wrote for \p Journal.
std::string tailName(const host_incarnation &Journal,
                     const host_incarnation &Successor, std::uint32_t Index);

/// How a create-if-absent ended.
enum class create_result : std::uint8_t {
  Created,
  Exists, ///< The name is taken, perhaps by our own lost attempt.
  Failed  ///< No answer or an error: the effect is unknown.
};

/// How a read ended.
enum class read_result : std::uint8_t { Found, Absent, Failed };

/// Create the object \c Name in the plural `segments` with \c Bytes, only if
/// it is absent. Answer with created().
struct create_segment {
  std::string Name;
  std::string Bytes;
};
/// Read a segment. Answer with read().
struct read_segment {
  std::string Name;
};
/// Send entries to a standby, which must be in the life named. Answer with
/// standbyAnswered().
struct send_to_standby {
  host_incarnation Standby;
  std::uint64_t OnPlatform = 0; ///< Entries up to here need no standby.
  std::vector<journal_entry> Entries;
};
/// Tell a standby that entries up to \c UpTo are on the platform.
struct trim_standby {
  host_incarnation Standby;
  std::uint64_t UpTo = 0;
};
/// All records with tickets up to \c Ticket are committed.
struct journal_committed {
  std::uint64_t Ticket = 0;
};
/// This host has been replaced; nothing more is committed, ever.
struct journal_fenced {};
/// Records can't be kept for now, or can again.
struct journal_availability {
  bool Available = true;
};

using journal_command =
    std::variant<create_segment, read_segment, send_to_standby, trim_standby,
                 journal_committed, journal_fenced, journal_availability>;

/// Numbers that shape the writer; from the host's settings.
struct journal_settings {
  milliseconds CommitInterval{20};   ///< Least time between two writes.
  milliseconds OutageTimeout{1500};  ///< Without success: use the standbys.
  milliseconds RetryInterval{250};   ///< Between tries in an outage.
  milliseconds StandbyTimeout{1000}; ///< Without both answers: not keeping.
  std::size_t MaxBufferBytes = std::size_t{64} << 20; ///< In an outage.
};

/// Writes one host life's journal.
///
///     auto Ticket = Commit.Ticket;             // a commit_record of the book
///     Journal.append(Commit.Record, Ticket, Now);
///     Journal.tick(Now);                       // and again at nextDue()
///     for (journal_command &Command : Journal.takeCommands())
///       ...
class journal_writer {
public:
  /// A new life starts a new journal at segment 1.
  journal_writer(host_incarnation Self, journal_settings Settings);

  /// Names the standbys, in other data centres if there are any. They are
  /// written with the next segment; until that is known to be on the
  /// platform, the old and the new ones must all keep an entry.
  void setStandbys(std::vector<host_incarnation> Names, time_point Now);

  /// Queues a record. Tickets rise from call to call.
  void append(const record &Record, std::uint64_t Ticket, time_point Now);

  /// Answers create_segment.
  void created(create_result Result, time_point Now);
  /// Answers read_segment.
  void read(read_result Result, std::string_view Bytes, time_point Now);
  /// Answers send_to_standby; \p UpTo is std::nullopt if the standby refused
  /// or did not answer.
  void standbyAnswered(const host_incarnation &Standby,
                       std::optional<std::uint64_t> UpTo, time_point Now);
  /// Starts what is due. Call at nextDue().
  void tick(time_point Now);
  std::optional<time_point> nextDue() const;

  std::vector<journal_command> takeCommands();

  const host_incarnation &self() const { return Self; }
  bool fenced() const { return State == state::Fenced; }
  bool buffering() const { return Buffering; }
  bool available() const { return Available; }
  /// Bytes that are not yet on the platform.
  std::size_t unwrittenBytes() const { return UnwrittenBytes; }
  /// The ticket that journal_committed told last.
  std::uint64_t committedTicket() const { return CommittedTicket; }
  /// The sequence at which the record of committedTicket() ends. What a
  /// snapshot of the committed rows covers; a part of a further record may be
  /// committed already.
  std::uint64_t committedRecordEnd() const { return CommittedRecordEnd; }
  /// The sequence of the latest entry.
  std::uint64_t lastSequence() const { return LastSequence; }
  /// The first segment that may hold entries after \p Sequence: replay of
  /// what came after needs nothing earlier.
  std::uint64_t firstSegmentAfter(std::uint64_t Sequence) const;
  /// The latest segment known to be on the platform; 0 if none. It must not
  /// be deleted: a successor would seal in the hole.
  std::uint64_t latestSegment() const { return SegmentNumber - 1; }
  /// Segments before \p Segment were deleted.
  void dropSegmentsBefore(std::uint64_t Segment);

private:
  enum class state : std::uint8_t { Idle, Creating, Reading, Backoff, Fenced };
  struct standby_row {
    host_incarnation Host;
    bool Retiring = false; ///< Replaced once the segment in work is kept.
    std::uint64_t Acked = 0;
    bool InFlight = false;
    bool Failed = false;
    time_point SentAt;
  };
  struct ticket_row {
    std::uint64_t Sequence = 0;
    std::uint64_t Ticket = 0;
  };

  bool segmentDue(time_point Now) const;
  void startSegment(time_point Now);
  void create(time_point Now);
  void finishSegment(time_point Now);
  void adoptStandbys();
  void commitTo(std::uint64_t Sequence);
  void startBuffering(time_point Now);
  void sendToStandbys(time_point Now);
  void updateAvailability(time_point Now);

  host_incarnation Self;
  journal_settings Settings;
  state State = state::Idle;
  bool Buffering = false;
  bool Available = true;
  std::deque<journal_entry> Unwritten; ///< Not yet on the platform.
  std::deque<ticket_row> Tickets;      ///< Not yet committed.
  std::size_t UnwrittenBytes = 0;
  std::uint64_t LastSequence = 0;
  std::uint64_t OnPlatform = 0;
  std::uint64_t Committed = 0;
  std::uint64_t CommittedTicket = 0;
  std::uint64_t CommittedRecordEnd = 0; ///< Last sequence of CommittedTicket.
  std::uint64_t SegmentNumber = 1;      ///< In work, or the next one.
  std::uint64_t LastInSegment = 0;      ///< Last sequence of the one in work.
  std::string SegmentBytes;
  std::map<std::uint64_t, std::uint64_t> LastOfSegment;
  std::vector<standby_row> Standbys;
  bool StandbysRecorded = false; ///< By a segment that is on the platform.
  bool StandbysChanged = false;  ///< To be written with the next segment.
  bool StandbysInFlight = false; ///< Written with the segment in work.
  time_point LastWriteAt{INT64_MIN / 2};
  time_point FirstTriedAt; ///< When the segment in work was first tried.
  time_point RetryAt;
  std::vector<journal_command> Commands;
};

/// What a standby keeps for other holders during an outage.
class standby_store {
public:
  /// \p MaxBytes bounds what is kept for all origins together.
  explicit standby_store(std::size_t MaxBytes) : MaxBytes(MaxBytes) {}

  /// Keeps entries of \p Origin. The acknowledged sequence, or std::nullopt
  /// with error Fenced (the tail was given to a successor) or Refused (full,
  /// or a gap before the first entry).
  std::optional<std::uint64_t> append(const host_incarnation &Origin,
                                      std::uint64_t OnPlatform,
                                      std::span<const journal_entry> Entries);
  /// Drops what is on the platform.
  void trim(const host_incarnation &Origin, std::uint64_t UpTo);
  /// Gives the tail to a successor and refuses \p Origin from then on.
  std::vector<journal_entry> close(const host_incarnation &Origin);
  /// The seal of \p Origin is on the platform: its entries are dropped, the
  /// refusal stays.
  void sealed(const host_incarnation &Origin);
  std::size_t bytes() const { return Bytes; }

private:
  struct origin_row {
    std::deque<journal_entry> Entries;
    std::uint64_t Trimmed = 0; ///< Entries up to here are on the platform.
    bool Closed = false;
  };
  void trimRow(origin_row &Row, std::uint64_t UpTo);

  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  std::map<host_incarnation, origin_row> Origins;
};

} // namespace turmerichead
