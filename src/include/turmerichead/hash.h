/// \file
/// Hashes that need not resist an attacker, and a comparison that does.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmerichead {

/// 64-bit hash of \p Bytes (xxHash), stable between builds and hosts.
std::uint64_t hash64(std::string_view Bytes, std::uint64_t Seed = 0);

/// Sixteen lower-case hexadecimal digits.
std::string toHex(std::uint64_t Value);

/// HMAC-SHA-256 of \p Message under \p Key, in hexadecimal.
std::string hmacSha256(std::string_view Key, std::string_view Message);

/// Compares without leaking the position of the first difference. The length
/// is not hidden.
bool equalConstantTime(std::string_view Left, std::string_view Right);

} // namespace turmerichead
