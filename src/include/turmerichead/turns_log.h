/// \file
/// An append-only log of checked records in segment files.
///
/// Each record has its length and a checksum. Appended records are buffered
/// and last only once sync() has returned true. After a power loss the end of
/// the newest segment may be torn: it is cut at the first record that does
/// not check, which can only lose records that were never synced. A record
/// that does not check anywhere else is damage and is reported.
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

/// Where a record's bytes lie.
struct log_position {
  std::uint64_t Segment = 0;
  std::uint64_t Offset = 0; ///< Of the record's head.
  std::uint32_t Size = 0;   ///< Of the bytes, without the head.
  friend auto operator<=>(const log_position &, const log_position &) = default;
};

struct log_settings {
  std::string Folder;
  std::uint64_t SegmentBytes = 8U << 20U; ///< A segment is closed above it.
  std::uint64_t MaxBytes = 0;             ///< Of all segments; 0: no limit.
};

/// What was found when a log was opened.
struct log_recovery {
  std::uint64_t Records = 0;
  std::uint64_t TornBytes = 0; ///< Cut off the newest segment.
  bool Damaged = false;        ///< Synced records are missing.
  std::string DamageText;      ///< What is damaged, with its place.
};

class record_log {
public:
  using visitor =
      std::function<void(const log_position &Position, std::string_view Bytes)>;

  /// Opens the log in a folder, which is made if it is not there, and visits
  /// each record in order. Fails with Unavailable if the folder can't be
  /// used.
  static std::optional<record_log>
  open(log_settings Settings, const visitor &Visit, log_recovery &Recovery);

  /// Adds a record, without syncing it. Fails with Refused if the log is full
  /// and with Unavailable if the disk is.
  std::optional<log_position> append(std::string_view Bytes);

  /// Makes all that was appended last. Returns false, with Unavailable, if
  /// the disk does not take it; what was appended since the last success is
  /// then taken back.
  bool sync();

  /// The bytes of a record. Fails with Corrupt or NotFound.
  std::optional<std::string> read(const log_position &Position);

  /// Visits the records from a place on, until \p Visit returns false or the
  /// log ends. Returns where to go on.
  std::optional<log_position> scan(
      log_position From,
      const std::function<bool(const log_position &, std::string_view)> &Visit);

  /// Where the next record will lie.
  log_position end() const;

  /// The numbers of all segments, the oldest first.
  std::vector<std::uint64_t> segments() const;
  std::uint64_t bytes() const { return TotalBytes; }
  std::uint64_t maxBytes() const { return Settings.MaxBytes; }

  /// Removes a segment that is not the newest.
  bool remove(std::uint64_t Segment);

  record_log(record_log &&) noexcept;
  record_log &operator=(record_log &&) noexcept;
  ~record_log();

private:
  record_log() = default;
  std::string pathOf(std::uint64_t Segment) const;
  bool startSegment(std::uint64_t Number);
  bool load(std::uint64_t Number, bool Newest, const visitor &Visit,
            log_recovery &Recovery);
  bool writeBuffer();
  void discardUnsynced();
  int descriptorOf(std::uint64_t Segment);

  struct segment {
    int Descriptor = -1;
    std::uint64_t Size = 0; ///< Written and buffered.
  };
  log_settings Settings;
  std::map<std::uint64_t, segment> Segments;
  std::string Buffer;           ///< Appended to the newest segment.
  std::uint64_t SyncedSize = 0; ///< Of the newest segment.
  std::uint64_t TotalBytes = 0;
};

} // namespace turmerichead::turns
