/// \file
/// A disk host's log and index together: what it keeps of turns and budgets.
#pragma once

#include "turmerichead/turns_index.h"

namespace turmerichead::turns {

struct record_store_settings {
  log_settings Log;
  /// The whole system starts for the first time: an empty disk is in order.
  /// Otherwise an empty or damaged disk has lost what it had acknowledged.
  bool FirstStart = false;
};

/// Keeps records on disk and answers from the index. Changes last once sync()
/// has returned true; nothing may be acknowledged before.
class record_store {
public:
  /// Fails with Unavailable if the disk can't be used.
  static std::optional<record_store>
  open(record_store_settings Settings, time_point Now, log_recovery &Recovery);

  const state_record &state() const { return State; }
  bool setState(const state_record &Value);

  /// Keeps a record, unless it is known. Returns false, with the reason, if
  /// the log does not take it.
  bool add(const turn_record &Turn, time_point Now);
  bool add(const spend_record &Spend, time_point Now);
  /// Keeps a record as another host's log has it; a State is passed over.
  bool addEncoded(std::string_view Bytes, time_point Now);

  bool sync();

  /// Reads a chain, oldest turn first. Fails with Corrupt or Unavailable if
  /// the disk does not give back what the index names.
  std::optional<chain_part> chain(std::string_view Id);

  const turn_index &index() const { return Index; }

  /// Records from a place on, for a host that copies: about \p MaxBytes.
  std::optional<copy_reply> copyFrom(log_position From, std::size_t MaxBytes);

  /// Forgets what is past its time and gives back disk space, a step at a
  /// time. To be called every second or so; sync() makes it last.
  bool compact(time_point Now);

  std::uint64_t bytes() const { return Log.bytes(); }

private:
  explicit record_store(record_log Log) : Log(std::move(Log)) {}
  bool compactSegment(std::uint64_t Segment);

  record_log Log;
  turn_index Index;
  state_record State;
};

} // namespace turmerichead::turns
