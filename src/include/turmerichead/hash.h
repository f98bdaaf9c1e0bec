/// \file
/// Hashes, and a comparison in constant time.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmerichead {

/// Returns the xxHash of \p Bytes, which is the same on all builds and hosts.
/// It does not resist attackers.
std::uint64_t hash64(std::string_view Bytes, std::uint64_t Seed = 0);

/// Returns sixteen lower-case hexadecimal digits.
std::string toHex(std::uint64_t Value);

/// Returns the HMAC-SHA-256 of \p Message under \p Key, in hexadecimal.
std::string hmacSha256(std::string_view Key, std::string_view Message);

/// Compares in a time that does not depend on the position of the first
/// difference. It does depend on the length.
bool equalConstantTime(std::string_view Left, std::string_view Right);

} // namespace turmerichead
