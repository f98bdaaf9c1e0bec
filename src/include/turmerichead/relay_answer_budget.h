/// \file
/// The memory that the answers of upstreams may take on a host. No I/O and no
/// clock.
///
/// Load pattern: a faulty upstream sends bytes without end to many calls at
/// once. Each call has a limit of its own, but many calls within their limits
/// exceed the memory of the host.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace turmerichead::relay {

/// Counts the bytes of answers that the calls of a host hold, against one limit
/// for all of them.
///
///     Budget.set(Call, HeldBytes);
///     while (auto Largest = Budget.largestIfExceeded())
///       abort(*Largest); // calls Budget.release()
class answer_budget {
public:
  using call_key = std::uint64_t;

  /// \p Limit in bytes.
  explicit answer_budget(std::size_t Limit) : Limit(Limit) {}

  /// Sets the number of bytes that a call holds now.
  void set(call_key Call, std::size_t Bytes);
  /// Forgets a call that has ended.
  void release(call_key Call) { set(Call, 0); }

  /// The call that holds the most, if all of them together hold more than the
  /// limit: answers of sound upstreams are small, so it is the endless one.
  std::optional<call_key> largestIfExceeded() const;

  /// Bytes that all calls hold.
  std::size_t total() const { return Total; }

private:
  std::size_t Limit;
  std::size_t Total = 0;
  std::unordered_map<call_key, std::size_t> Held; ///< Without those of 0 bytes.
};

} // namespace turmerichead::relay
