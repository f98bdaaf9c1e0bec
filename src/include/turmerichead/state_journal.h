/// \file
/// The write-ahead journal of a holder: records in numbered segments that are
/// created only if absent, and the buffers of its standbys, which replace the
/// platform during an outage.
///
/// The classes are step functions without I/O: events come in as calls,
/// commands go out through takeCommands(), and the daemon executes them. They
/// are not thread-safe.
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

/// Longer records are split into entries of this size, in bytes.
inline constexpr std::size_t MaxEntryBytes = std::size_t{256} << 10;

/// One encoded record, or a part of it, with its sequence number.
struct journal_entry {
  /// Starts at 1 for each host incarnation, without gaps.
  std::uint64_t Sequence = 0;
  bool Continues = false; ///< The record continues in the next entry.
  std::string Bytes;      ///< Output of encodeRecord(), or a part of it.
  MSGPACK_DEFINE(Sequence, Continues, Bytes)
};

/// The content of one segment object. A segment with \c Sealed ends the
/// journal; a successor creates it to fence the writer.
struct journal_segment {
  host_incarnation Writer; ///< The host that created the segment.
  /// The hosts that may hold later entries during an outage.
  std::vector<host_incarnation> Standbys;
  std::vector<journal_entry> Entries;
  bool Sealed = false;
  /// In a seal: names of the objects in the collection `segments` that hold the
  /// standby's entries.
  std::vector<std::string> TailObjects;
  /// In a seal: no standby answered, so entries may be lost.
  bool TailMissing = false;
  MSGPACK_DEFINE(Writer, Standbys, Entries, Sealed, TailObjects, TailMissing)
};

std::string encodeSegment(const journal_segment &Segment);
/// Returns std::nullopt with error Corrupt if \p Bytes are not a segment.
std::optional<journal_segment> decodeSegment(std::string_view Bytes);

/// Returns "<host>.<incarnation>.<n>"; n starts at 1.
std::string segmentName(const host_incarnation &Journal, std::uint64_t Number);
/// Returns the number in a segment's name; std::nullopt for other names.
std::optional<std::uint64_t> segmentNumber(const host_incarnation &Journal,
                                           std::string_view Name);
/// Returns the name of a tail object: entries of \p Journal that \p Successor
/// received from a standby and wrote to the platform.
std::string tailName(const host_incarnation &Journal,
                     const host_incarnation &Successor, std::uint32_t Index);

/// Result of a create-if-absent.
enum class create_result : std::uint8_t {
  Created,
  Exists, ///< The name exists, perhaps from an own attempt whose answer was
          ///< lost.
  Failed  ///< No answer or an error; the object may have been created or not.
};

/// Result of a read.
enum class read_result : std::uint8_t { Found, Absent, Failed };

/// Create the object \c Name in the collection `segments` with \c Bytes if it
/// does not exist. Answer with created().
struct create_segment {
  std::string Name;
  std::string Bytes;
};
/// Read a segment. Answer with read().
struct read_segment {
  std::string Name;
};
/// Send entries to a standby. Only a host in exactly this incarnation may
/// accept them. Answer with standbyAnswered().
struct send_to_standby {
  host_incarnation Standby;
  /// Entries up to this sequence are on the platform.
  std::uint64_t OnPlatform = 0;
  std::vector<journal_entry> Entries;
};
/// Inform a standby that entries up to \c UpTo are on the platform. Not
/// answered.
struct trim_standby {
  host_incarnation Standby;
  std::uint64_t UpTo = 0;
};
/// Records with tickets up to \c Ticket are committed.
struct journal_committed {
  std::uint64_t Ticket = 0;
};
/// This host has been replaced; the writer commits nothing more.
struct journal_fenced {};
/// The journal can't commit records for now, or can again.
struct journal_availability {
  bool Available = true;
};

using journal_command =
    std::variant<create_segment, read_segment, send_to_standby, trim_standby,
                 journal_committed, journal_fenced, journal_availability>;

/// Settings of the writer.
struct journal_settings {
  milliseconds CommitInterval{20}; ///< Minimum time between two segment writes.
  /// Time without a successful write until the standbys are used.
  milliseconds OutageTimeout{1500};
  milliseconds RetryInterval{250}; ///< Time between attempts during an outage.
  /// Time to wait for a standby's answer; then the journal is unavailable.
  milliseconds StandbyTimeout{1000};
  /// Limit for unwritten bytes during an outage.
  std::size_t MaxBufferBytes = std::size_t{64} << 20;
};

/// Writes the journal of one host incarnation.
///
///     auto Ticket = Commit.Ticket;             // a commit_record of the book
///     Journal.append(Commit.Record, Ticket, Now);
///     Journal.tick(Now);                       // and again at nextDue()
///     for (journal_command &Command : Journal.takeCommands())
///       ...
///
/// During normal operation a record is committed when its segment is on the
/// platform. During an outage it is committed when all standbys hold it.
class journal_writer {
public:
  /// Each host incarnation starts a new journal at segment 1.
  journal_writer(host_incarnation Self, journal_settings Settings);

  /// Sets the standbys, which should be in other data centres if there are any.
  /// Their names are written with the next segment. Until that segment is known
  /// to be on the platform, both the old and the new standbys must hold an
  /// entry before it is committed.
  void setStandbys(std::vector<host_incarnation> Names, time_point Now);

  /// Queues a record. Tickets must increase from call to call.
  void append(const record &Record, std::uint64_t Ticket, time_point Now);

  /// Answer to create_segment.
  void created(create_result Result, time_point Now);
  /// Answer to read_segment.
  void read(read_result Result, std::string_view Bytes, time_point Now);
  /// Answer to send_to_standby. \p UpTo is the acknowledged sequence, or
  /// std::nullopt if the standby refused or did not answer.
  void standbyAnswered(const host_incarnation &Standby,
                       std::optional<std::uint64_t> UpTo, time_point Now);
  /// Starts writes, retries and timeouts that are due. Call it at nextDue().
  void tick(time_point Now);
  std::optional<time_point> nextDue() const;

  std::vector<journal_command> takeCommands();

  const host_incarnation &self() const { return Self; }
  bool fenced() const { return State == state::Fenced; }
  bool buffering() const { return Buffering; }
  bool available() const { return Available; }
  /// Encoded bytes that are not yet on the platform.
  std::size_t unwrittenBytes() const { return UnwrittenBytes; }
  /// The ticket of the latest journal_committed.
  std::uint64_t committedTicket() const { return CommittedTicket; }
  /// The sequence of the last entry of the record with committedTicket(). A
  /// snapshot of the committed rows covers the journal up to here; parts of the
  /// next record may be committed already.
  std::uint64_t committedRecordEnd() const { return CommittedRecordEnd; }
  /// The sequence of the latest appended entry.
  std::uint64_t lastSequence() const { return LastSequence; }
  /// The first segment that may hold entries after \p Sequence. A replay of
  /// these entries needs no earlier segment.
  std::uint64_t firstSegmentAfter(std::uint64_t Sequence) const;
  /// The latest segment known to be on the platform; 0 if none. It must not be
  /// deleted: a successor would create its seal under the deleted segment's
  /// number, and the writer would not find it.
  std::uint64_t latestSegment() const { return SegmentNumber - 1; }
  /// Removes the records about segments before \p Segment, which were deleted.
  void dropSegmentsBefore(std::uint64_t Segment);

private:
  enum class state : std::uint8_t { Idle, Creating, Reading, Backoff, Fenced };
  struct standby_row {
    host_incarnation Host;
    /// Removed once the segment being written is on the platform.
    bool Retiring = false;
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
  std::uint64_t SegmentNumber = 1;      ///< Being written, or the next one.
  /// Last sequence of the segment being written.
  std::uint64_t LastInSegment = 0;
  std::string SegmentBytes;
  std::map<std::uint64_t, std::uint64_t> LastOfSegment;
  std::vector<standby_row> Standbys;
  /// A segment on the platform names the standbys.
  bool StandbysRecorded = false;
  bool StandbysChanged = false;  ///< Must be written with the next segment.
  bool StandbysInFlight = false; ///< Are in the segment being written.
  time_point LastWriteAt{INT64_MIN / 2};
  /// First attempt to create the segment being written.
  time_point FirstTriedAt;
  time_point RetryAt;
  std::vector<journal_command> Commands;
};

/// The entries that a standby buffers for other holders during an outage.
class standby_store {
public:
  /// \p MaxBytes limits the entries of all origins together.
  explicit standby_store(std::size_t MaxBytes) : MaxBytes(MaxBytes) {}

  /// Stores entries of \p Origin. Returns the acknowledged sequence, or
  /// std::nullopt with error Fenced (the tail was given to a successor) or
  /// Refused (the buffer is full, or an earlier entry is missing).
  std::optional<std::uint64_t> append(const host_incarnation &Origin,
                                      std::uint64_t OnPlatform,
                                      std::span<const journal_entry> Entries);
  /// Drops entries up to \p UpTo, which are on the platform.
  void trim(const host_incarnation &Origin, std::uint64_t UpTo);
  /// Returns the entries of \p Origin to a successor and rejects all later
  /// entries of \p Origin.
  std::vector<journal_entry> close(const host_incarnation &Origin);
  /// The seal of \p Origin is on the platform. Drops its entries and continues
  /// to reject new ones.
  void sealed(const host_incarnation &Origin);
  std::size_t bytes() const { return Bytes; }

private:
  struct origin_row {
    std::deque<journal_entry> Entries;
    /// Entries up to this sequence are on the platform.
    std::uint64_t Trimmed = 0;
    bool Closed = false;
  };
  void trimRow(origin_row &Row, std::uint64_t UpTo);

  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  std::map<host_incarnation, origin_row> Origins;
};

} // namespace turmerichead
