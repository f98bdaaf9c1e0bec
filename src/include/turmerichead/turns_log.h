/// \file
/// An append-only log of records with checksums, in segment files.
///
/// Each record is preceded by its length and checksum. Appended records are
/// buffered and are durable only once sync() has returned true. After a power
/// loss the end of the newest segment that has records may be torn: it is
/// truncated at the first invalid record, which can only lose records that were
/// never synced. An invalid record anywhere else is reported as damage.
///
/// A process that was killed leaves records that it wrote and did not sync. So
/// open() syncs all that it reads: what it returns is durable.
#pragma once

#include "turmerichead/hash.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::turns {

/// The position of a record in the log.
struct log_position {
  std::uint64_t Segment = 0;
  std::uint64_t Offset = 0; ///< Of the record's header, in bytes.
  std::uint32_t Size = 0;   ///< In bytes, without the header.
  friend auto operator<=>(const log_position &, const log_position &) = default;
};

/// Settings of a log.
struct log_settings {
  std::string Folder; ///< Of the segment files.
  /// Size from which a sync starts a new segment.
  std::uint64_t SegmentBytes = 8U << 20U;
  std::uint64_t MaxBytes = 0; ///< Of all segments together; 0: no limit.
};

/// What a record is appended for. A log that fills up refuses the first of
/// these first, so that work in progress can end, a host that catches up has
/// room for what it copies, and the log itself can always be maintained.
enum class record_purpose : std::uint8_t {
  NewWork,    ///< The start of a turn.
  Completion, ///< The end of a turn that has been started.
  Copy,       ///< A record that other hosts have accepted.
  Upkeep      ///< The host's state and compaction; never refused.
};

/// The result of reading a log when it is opened.
struct log_recovery {
  std::uint64_t Records = 0; ///< Valid records.
  /// Bytes after the last valid record of a segment.
  std::uint64_t TornBytes = 0;
  std::uint64_t Segments = 0; ///< That were read and synced.
  bool Damaged = false;       ///< Synced records are lost.
  std::string DamageText;     ///< File and offset of the damage.
};

/// An open log with its segment files. Not synchronized: use it in one thread.
class record_log {
public:
  using visitor =
      std::function<void(const log_position &Position, std::string_view Bytes)>;

  /// Opens the log in a folder, which is created if it does not exist, and
  /// calls \p Visit for each record in order. Fails with Unavailable if the
  /// folder can't be used. If the log is damaged, the invalid bytes stay in its
  /// files until removeInvalidEnds().
  static std::optional<record_log>
  open(log_settings Settings, const visitor &Visit, log_recovery &Recovery);

  /// Truncates the files of segments that end with invalid bytes. Damage is not
  /// reported again after that, so its effect has to be stored before. Returns
  /// false, with Unavailable, if that fails.
  bool removeInvalidEnds();

  /// Appends a record to the buffer and returns its position. Fails with
  /// Refused if the log would exceed its limit for \p Purpose.
  std::optional<log_position>
  append(std::string_view Bytes,
         record_purpose Purpose = record_purpose::Completion);

  /// Whether append() would refuse a record of \p Size bytes.
  bool refuses(record_purpose Purpose, std::uint64_t Size) const;

  /// Makes all appended records durable. Returns false, with Unavailable, if
  /// writing or syncing fails; the records that were appended since the last
  /// successful sync are then discarded, and a new segment is started if
  /// possible.
  bool sync();

  /// Reads the bytes of a record. Fails with NotFound if its segment was
  /// removed, with Corrupt if the record is invalid, and with Unavailable if
  /// buffered records can't be written.
  std::optional<std::string> read(const log_position &Position);

  /// Calls \p Visit for the records from \p From on, until it returns false or
  /// the log ends. Returns the position at which to continue. Fails like
  /// read().
  std::optional<log_position> scan(
      log_position From,
      const std::function<bool(const log_position &, std::string_view)> &Visit);

  /// Returns the position of the next record to append.
  log_position end() const;
  /// Returns the end of the records that sync() has made durable.
  log_position syncedEnd() const;

  /// Returns the numbers of all segments, oldest first.
  std::vector<std::uint64_t> segments() const;
  /// Size of all segments, with buffered records.
  std::uint64_t bytes() const { return TotalBytes; }
  std::uint64_t maxBytes() const { return Settings.MaxBytes; }
  /// Size of one segment; 0 if there is none.
  std::uint64_t bytes(std::uint64_t Segment) const;

  /// Removes a segment. Returns false if it is the newest, does not exist or
  /// its file can't be removed.
  bool remove(std::uint64_t Segment);

  record_log(record_log &&) noexcept;
  record_log &operator=(record_log &&) noexcept;
  ~record_log();

private:
  record_log() = default;
  std::string pathOf(std::uint64_t Segment) const;
  bool startSegment(std::uint64_t Number);
  /// Reads and syncs a segment and calls \p Visit for its records.
  bool load(std::uint64_t Number, const visitor &Visit, log_recovery &Recovery);
  void reportDamage(log_recovery &Recovery) const;
  bool removeInvalidEnd(std::uint64_t Number);
  std::string invalidRecordText(std::uint64_t Segment,
                                std::uint64_t Offset) const;
  bool writeBuffer();
  /// Discards the records that were appended since the last successful sync.
  /// Returns whether the file has none of their bytes any more, on disk too.
  bool discardUnsynced();
  int descriptorOf(std::uint64_t Segment);

  struct segment {
    int Descriptor = -1;
    std::uint64_t Size = 0;     ///< Written and buffered bytes.
    bool HasInvalidEnd = false; ///< Whether invalid bytes follow in the file.
  };
  log_settings Settings;
  std::map<std::uint64_t, segment> Segments;
  std::string Buffer;           ///< Not yet written to the newest segment.
  std::uint64_t SyncedSize = 0; ///< Of the newest segment.
  std::uint64_t TotalBytes = 0;
};

} // namespace turmerichead::turns
