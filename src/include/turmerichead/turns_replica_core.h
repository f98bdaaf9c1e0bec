/// \file
/// The rules by which a disk host answers. It reads and writes its disk and
/// talks to nobody: requests come in and replies go out as values.
///
/// A reply that depends on the disk may be told only once sync() has
/// succeeded after it; each function says whether its reply does.
#pragma once

#include "turmerichead/turns_record_store.h"

#include <map>
#include <string>
#include <string_view>

namespace turmerichead::turns {

/// A reply, and whether it must wait until the disk has synced.
template <typename Reply> struct core_reply {
  Reply Value;
  bool NeedsSync = false;
};

/// How far a copy from one other host has come.
struct copy_progress {
  log_position Next;
  bool RequestPending = false;
  bool Done = false;
};

class replica_core {
public:
  replica_core(disk_host Self, record_store Store)
      : Self(std::move(Self)), Store(std::move(Store)) {}

  const disk_set &set() const { return Store.state().Set; }
  bool caughtUp() const { return Store.state().CaughtUp; }
  const turn_index &index() const { return Store.index(); }

  /// Whether this host is an old or a new member of the set.
  bool isMember() const;

  /// Takes a newer set into force; older ones are passed over. Returns true
  /// if it is new: the disk is to be synced, so that older sets stay refused
  /// after a restart.
  bool adoptSet(const disk_set &Set);

  core_reply<open_reply> open(const open_request &Request, time_point Now);
  core_reply<close_reply> close(const close_request &Request, time_point Now);
  /// The chain before a turn, or the attempts of a program.
  open_reply chain(const lookup_request &Request);
  open_reply spent(const lookup_request &Request);
  /// Fails with Corrupt if the log can't be read.
  std::optional<core_reply<copy_reply>> copy(const copy_request &Request);

  // -- Catching up --

  /// Whether it must copy from the others before its word counts.
  bool needsCopy() const { return isMember() && !caughtUp(); }

  /// What to ask of each other member now; empty while all have been asked.
  std::vector<std::pair<std::string, copy_request>> copyRequests();

  /// A reply to a copy, from \p Address. Returns false, with the reason, if
  /// it could not be kept.
  bool onCopyReply(std::string_view Address, std::uint64_t Epoch,
                   const copy_reply &Reply, time_point Now);
  /// The request to \p Address has ended, with or without a reply.
  void onCopyEnded(std::string_view Address, std::uint64_t Epoch);

  /// Declares itself caught up once enough others have been copied. To be
  /// called after a successful sync. Returns true if that is new; the disk is
  /// to be synced again.
  bool finishCopy();

  bool sync() { return Store.sync(); }
  bool compact(time_point Now) { return Store.compact(Now); }
  std::uint64_t copiedRecords() const { return Copied; }

private:
  bool acceptSet(const disk_set &Set);

  disk_host Self;
  record_store Store;
  std::map<std::string, copy_progress, std::less<>> Copies; ///< By address.
  std::uint64_t CopyEpoch = 0;
  std::uint64_t Copied = 0;
};

} // namespace turmerichead::turns
