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

/// One encoded record with its place in the writer's order.
struct journal_entry {
  std::uint64_t Sequence = 0; ///< From 1 within a host's life.
  std::string Bytes;          ///< encodeRecord().
  MSGPACK_DEFINE(Sequence, Bytes)
};

/// The content of one segment object. A segment with \c Sealed ends the
/// journal: it was created by a successor.
struct journal_segment {
  host_life Writer; ///< Who created it.
  bool Sealed = false;
  /// Of a seal: tail objects by this writer that hold the standby's records.
  std::uint32_t TailObjects = 0;
  bool TailMissing = false; ///< No standby answered: records may be lost.
  std::vector<journal_entry> Entries;
  MSGPACK_DEFINE(Writer, Sealed, TailObjects, TailMissing, Entries)
};

std::string encodeSegment(const journal_segment &Segment);
/// std::nullopt with error Corrupt where \p Bytes are no segment.
std::optional<journal_segment> decodeSegment(std::string_view Bytes);

/// "<host>.<incarnation>.<n>"; n counts from 1.
std::string segmentName(const host_life &Journal, std::uint64_t Number);
/// The name of a tail object that \p Successor wrote for \p Journal.
std::string tailName(const host_life &Journal, const host_life &Successor,
                     std::uint32_t Index);

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
  host_life Standby;
  std::vector<journal_entry> Entries;
};
/// Tell a standby that entries up to \c UpTo are on the platform.
struct trim_standby {
  host_life Standby;
  std::uint64_t UpTo = 0;
};
/// Entries up to \c UpTo are committed.
struct journal_committed {
  std::uint64_t UpTo = 0;
};
/// This host has been replaced; nothing more is committed, ever.
struct journal_fenced {};
/// Records can't be kept for now, or can again.
struct journal_keeping {
  bool CanKeep = true;
};

using journal_command =
    std::variant<create_segment, read_segment, send_to_standby, trim_standby,
                 journal_committed, journal_fenced, journal_keeping>;

/// Numbers that shape the writer; from the host's settings.
struct journal_settings {
  milliseconds CommitInterval{20};   ///< Least time between two writes.
  milliseconds OutageTimeout{1500};  ///< Without success: use the standbys.
  milliseconds RetryInterval{250};   ///< Between tries in an outage.
  milliseconds StandbyTimeout{1000}; ///< Without both answers: not keeping.
  std::size_t MaxBufferBytes = std::size_t{64} << 20; ///< In an outage.
};

/// Writes one host life's journal.
class journal_writer {
public:
  /// Continues nothing: a new life starts a new journal at segment 1.
  journal_writer(host_life Self, journal_settings Settings);

  /// Names the standbys; they count once the record of it is committed, so
  /// append a standbys_record with the same content.
  void setStandbys(std::vector<host_life> Standbys);

  /// Queues a record and returns its sequence number.
  std::uint64_t append(const record &Record, time_point Now);

  void created(create_result Result, time_point Now);
  void read(read_result Result, std::string_view Bytes, time_point Now);
  /// \p Kept is false if the standby refused or did not answer.
  void standbyAnswered(const host_life &Standby, bool Kept, std::uint64_t UpTo,
                       time_point Now);
  /// Starts what is due. Call at nextDue().
  void tick(time_point Now);
  std::optional<time_point> nextDue() const;

  std::vector<journal_command> takeCommands();

  const host_life &self() const { return Self; }
  std::uint64_t committed() const { return Committed; }
  std::uint64_t lastSequence() const { return LastSequence; }
  /// The number of the next segment to be written.
  std::uint64_t nextSegment() const { return SegmentNumber; }
  /// The first segment that may hold entries after \p Sequence; replay from
  /// there needs nothing earlier.
  std::uint64_t segmentAfter(std::uint64_t Sequence) const;
  /// Forgets the index of segments before \p Segment (they were deleted).
  void forgetBefore(std::uint64_t Segment);
  bool fenced() const { return State == state::Fenced; }
  bool buffering() const { return Buffering; }
  bool keeping() const { return Keeping; }
  std::size_t openBytes() const { return OpenBytes; }

private:
  enum class state : std::uint8_t { Idle, Creating, Reading, Waiting, Fenced };
  struct standby_row {
    host_life Host;
    std::uint64_t SentUpTo = 0;
    std::uint64_t AckedUpTo = 0;
    bool InFlight = false;
    bool Refused = false;
    time_point SentAt;
  };

  void startSegment(time_point Now);
  void finishSegment(time_point Now);
  void fence();
  void retryLater(time_point Now);
  void commitTo(std::uint64_t UpTo);
  void startBuffering(time_point Now);
  void sendToStandbys(time_point Now);
  void judgeKeeping(time_point Now);
  void setKeeping(bool CanKeep);

  host_life Self;
  journal_settings Settings;
  state State = state::Idle;
  bool Buffering = false;
  bool Keeping = true;
  std::deque<journal_entry> Open; ///< Not yet on the platform.
  std::size_t OpenBytes = 0;
  std::size_t InSegment = 0; ///< Leading entries of Open in the write.
  std::string SegmentBytes;
  std::uint64_t LastSequence = 0;
  std::uint64_t OnPlatform = 0;
  std::uint64_t Committed = 0;
  std::uint64_t SegmentNumber = 1;
  std::map<std::uint64_t, std::uint64_t> LastOfSegment;
  std::vector<standby_row> Standbys;
  time_point LastStart{INT64_MIN / 2};
  time_point LastSuccess;
  time_point RetryAt;
  bool Sluggish = false;
  time_point BehindSince;
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
  std::optional<std::uint64_t> keep(const host_life &Origin,
                                    std::span<const journal_entry> Entries);
  /// Drops what is on the platform.
  void trim(const host_life &Origin, std::uint64_t UpTo);
  /// Gives the tail to a successor and refuses \p Origin from then on.
  std::vector<journal_entry> close(const host_life &Origin);
  /// The seal of \p Origin is on the platform: its entries are dropped, the
  /// refusal stays.
  void sealed(const host_life &Origin);
  std::size_t bytes() const { return Bytes; }

private:
  struct origin_row {
    std::deque<journal_entry> Entries;
    bool Closed = false;
    std::uint64_t Trimmed = 0;
  };
  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  std::map<host_life, origin_row> Origins;
};

} // namespace turmerichead
