/// \file
/// Typed ids: a row's index and the generation of its slot.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace turmerichead {

/// Addresses a row of a table. An id whose row has gone is detected by its
/// generation. \p Tag keeps ids of different tables apart.
template <typename Tag> struct typed_id {
  std::uint32_t Index = 0;
  std::uint32_t Generation = 0; ///< 0 is "no row".

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
