/// \file
/// Typed ids: a row's index and the generation of its slot.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace turmerichead {

/// Identifies a row of a table. The generation detects the id of an erased row.
/// \p Tag makes ids of different tables distinct types.
template <typename Tag> struct typed_id {
  std::uint32_t Index = 0;
  std::uint32_t Generation = 0; ///< 0: no row.

  explicit operator bool() const { return Generation != 0; }
  friend auto operator<=>(const typed_id &, const typed_id &) = default;
};

} // namespace turmerichead

template <typename Tag> struct std::hash<turmerichead::typed_id<Tag>> {
  std::size_t operator()(const turmerichead::typed_id<Tag> &Id) const {
    return std::hash<std::uint64_t>()(
        (static_cast<std::uint64_t>(Id.Generation) << 32) | Id.Index);
  }
};
