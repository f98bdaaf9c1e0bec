/// \file
/// One limit for the memory that clients and upstreams make a host hold. No I/O
/// and no clock.
///
/// Load pattern: many requests or answers, each within the limits for one,
/// exceed the memory of the host together. A holder is a connection or a call;
/// whoever owns holders reports their bytes. While all of them exceed the
/// limit, holders are ended:
///
///     memory_budget Budget(22U << 20U);
///     auto Owner = Budget.addOwner([&](std::uint64_t Key) { close(Key); });
///     auto Holder = Budget.add(Owner, Key);
///     Budget.set(Holder, memory_rank::Request, Body.capacity(), steadyNow());
///     Budget.enforce();
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/table.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace turmerichead {

/// What a holder's bytes are, in the order in which holders are ended.
enum class memory_rank : std::uint8_t {
  Request, ///< Of a request that is not complete: it has not run.
  Answer,  ///< Of an answer that its reader has not taken.
  Call,    ///< Of a call under way.
  Pinned   ///< Of work that can't be ended, such as the storing of a turn.
};
inline constexpr std::size_t MemoryRanks = 4;

struct memory_holder;
using memory_holder_id = typed_id<memory_holder>;
struct memory_owner;
using memory_owner_id = typed_id<memory_owner>;

/// One holder of memory.
struct memory_holder {
  memory_owner_id Owner;
  std::uint64_t Key = 0; ///< Of its owner.
  memory_rank Rank = memory_rank::Request;
  std::size_t Bytes = 0;
  time_point Progress; ///< When its bytes last changed.
};

/// Ends a holder: it must release its memory or report fewer bytes.
struct memory_owner {
  std::function<void(std::uint64_t Key)> End;
};

class memory_budget {
public:
  /// \p Limit in bytes.
  explicit memory_budget(std::size_t Limit) : Limit(Limit) {}
  memory_budget(const memory_budget &) = delete;
  memory_budget &operator=(const memory_budget &) = delete;

  memory_owner_id addOwner(std::function<void(std::uint64_t Key)> End);
  /// Forgets an owner with all its holders.
  void removeOwner(memory_owner_id Owner);

  /// Adds a holder of 0 bytes.
  memory_holder_id add(memory_owner_id Owner, std::uint64_t Key);
  /// Sets the number of bytes that a holder has now.
  void set(memory_holder_id Holder, memory_rank Rank, std::size_t Bytes,
           time_point Now);
  /// Forgets a holder that has ended.
  void release(memory_holder_id Holder);

  /// Returns the holder to end if all of them together exceed the limit. It is
  /// of the first rank that has more than a quarter of the limit, or else of
  /// the rank that has the most, so that one endless answer does not end small
  /// requests. Within the rank it is the largest holder, or of those at least
  /// half as large the one whose bytes have not changed for the longest time;
  /// nullopt if nothing can be ended.
  std::optional<memory_holder_id> excess() const;

  /// Whether \p Bytes more are within the limit.
  bool hasRoomFor(std::size_t Bytes) const { return Total + Bytes <= Limit; }

  /// Ends holders until the rest is within the limit, or only pinned ones are
  /// left. Calls their owners.
  void enforce();

  std::size_t total() const { return Total; }
  std::size_t limit() const { return Limit; }
  /// Number of holders that enforce() has ended.
  std::uint64_t ended() const { return Ended; }

private:
  std::size_t Limit;
  std::size_t Total = 0;
  std::array<std::size_t, MemoryRanks> ByRank{};
  std::uint64_t Ended = 0;
  bool Enforcing = false;
  table<memory_owner> Owners;
  table<memory_holder> Holders;
};

} // namespace turmerichead
