/// \file
/// The store of turns and budgets on a disk host: a log and its index.
#pragma once

#include "turmerichead/turns_index.h"

namespace turmerichead::turns {

struct record_store_settings {
  log_settings Log;
  /// Whether the whole system starts for the first time, so that an empty disk
  /// is expected. Otherwise an empty disk has lost acknowledged records.
  bool FirstStart = false;
  /// Whether other members have to confirm FirstStart before an empty disk
  /// counts as caught up; see replica_core::ping().
  bool ConfirmFirstStart = false;
};

/// Stores records in the log and looks them up in the index. Changes are
/// durable once sync() has returned true; they must not be acknowledged before.
class record_store {
public:
  /// Reads the log and builds the index. \p Recovery receives what was read.
  /// Fails with Unavailable if the disk can't be used.
  static std::optional<record_store>
  open(record_store_settings Settings, time_point Now, log_recovery &Recovery);

  const state_record &state() const { return State; }
  /// Stores a new state, also in a full log.
  void setState(const state_record &Value);

  /// Stores a record; a turn that is already stored is skipped. Returns false,
  /// with the reason, if the log refuses the record.
  bool add(const turn_record &Turn, time_point Now,
           record_purpose Purpose = record_purpose::Completion);
  bool add(const spend_record &Spend, time_point Now,
           record_purpose Purpose = record_purpose::Completion);
  /// Stores an encoded record from the log of another host. State records are
  /// skipped, and so are records that add no information: a host that catches
  /// up receives most records from every other host. Returns false, with the
  /// reason, if the record can't be decoded or the log refuses it.
  bool addEncoded(std::string_view Bytes, time_point Now);

  /// Syncs the log. Returns false if that fails; the turns that were not synced
  /// are then removed from the index.
  bool sync();

  /// Reads the chain that ends with turn \p Id, oldest turn first. Fails with
  /// Corrupt or Unavailable if an indexed record can't be read.
  std::optional<chain_part> chain(std::string_view Id);

  const turn_index &index() const { return Index; }

  /// Returns the records from \p From on, about \p MaxBytes of them, for a host
  /// that catches up. Fails like record_log::scan().
  std::optional<copy_reply> copyFrom(log_position From, std::size_t MaxBytes);
  /// As copyFrom(), but lists turns in place of returning their records, and
  /// leaves out what later records have replaced.
  std::optional<copy_reply> listFrom(log_position From, std::size_t MaxBytes);
  /// Reads the encoded record of a turn. Fails with NotFound if it is not
  /// stored, and like record_log::read().
  std::optional<std::string> turn(std::string_view Id);

  /// Removes expired records from the index and the segments without live
  /// records, and compacts at most one more segment. Call it about once a
  /// second. Returns false, with the reason, if reading or writing the log
  /// fails.
  bool compact(time_point Now);

  /// Returns whether all records before \p Position are durable.
  bool isSynced(const log_position &Position) const {
    return Position <= Log.syncedEnd();
  }
  /// Size of the appended records that wait for a sync.
  std::uint64_t unsyncedBytes() const {
    return Log.end().Offset - Log.syncedEnd().Offset;
  }

  /// Size of the log, and its maximum; 0: no maximum.
  std::uint64_t bytes() const { return Log.bytes(); }
  std::uint64_t maxBytes() const { return Log.maxBytes(); }
  /// Whether the log has no room for new turns.
  bool isFull() const { return Log.refuses(record_purpose::NewWork, 0); }

private:
  explicit record_store(record_log Log) : Log(std::move(Log)) {}
  /// Adds what a host that catches up needs of a record to \p Reply, and
  /// returns its size.
  std::size_t listRecord(copy_reply &Reply, const log_position &Position,
                         std::string_view Record) const;
  /// Size of the live records by segment.
  using live_bytes = std::map<std::uint64_t, std::uint64_t>;

  /// Removes the segments without live records; the newest one stays.
  bool removeDeadSegments(const live_bytes &Live);
  /// Returns the oldest segment that is worth compacting; nullopt if there is
  /// none.
  std::optional<std::uint64_t> segmentToCompact(const live_bytes &Live) const;
  /// Copies the live records of a segment to the end of the log and removes the
  /// segment.
  bool compactSegment(std::uint64_t Segment);
  /// Stores the state again unless it is on disk outside of \p Segment.
  bool keepState(std::uint64_t Segment);

  record_log Log;
  turn_index Index;
  state_record State;
  /// Segment with the newest state record; 0: it is not in the log.
  std::uint64_t StateSegment = 0;
};

} // namespace turmerichead::turns
