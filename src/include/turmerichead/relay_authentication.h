/// \file
/// Authentication of callers by the keys of their organisations. Nothing here
/// does I/O or reads a clock.
#pragma once

#include "turmerichead/http1_message.h"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::relay {

/// The SHA-256 digest of a key. Hosts keep and exchange digests only, so that a
/// copy of the configuration discloses no key.
struct key_digest {
  static constexpr std::size_t Size = 32;
  std::array<std::uint8_t, Size> Bytes{};
  friend auto operator<=>(const key_digest &, const key_digest &) = default;
};

key_digest digestOf(std::string_view Key);
/// Decodes 64 hexadecimal digits; nullopt if \p Hex is something else.
std::optional<key_digest> digestFromHex(std::string_view Hex);
std::string hexOf(const key_digest &Digest);

/// The keys of a configuration and the organisation that each belongs to. A
/// sorted vector, as a large configuration has ten thousand keys and a host has
/// little memory.
///
///     Keys.add(digestOf("k1"), "acme");
///     Keys.seal();
///     const std::string *Name = Keys.find(digestOf("k1"));
class key_directory {
public:
  /// Adds a key. find() must not be used before the next seal().
  void add(const key_digest &Key, std::string_view Organisation);
  /// Sorts the keys. Returns how many were left out because another
  /// organisation, which was added before, has the same key.
  std::size_t seal();
  /// Returns the name of the organisation, or nullptr if the key is unknown.
  const std::string *find(const key_digest &Key) const;
  std::size_t size() const { return Rows.size(); }

private:
  struct row {
    key_digest Key;
    std::uint32_t Organisation = 0; ///< Index in Names.
    friend auto operator<=>(const row &, const row &) = default;
  };
  std::vector<row> Rows;
  std::vector<std::string> Names;
};

/// Why a request is not authenticated.
enum class credential_error : std::uint8_t {
  Missing,   ///< There is no Authorization header.
  Repeated,  ///< There are several.
  Scheme,    ///< The scheme is not Bearer.
  Malformed, ///< The key is empty, too long or has invalid bytes.
  Unknown    ///< No organisation has the key.
};
/// Returns the name of the error in metrics and logs.
std::string_view nameOf(credential_error Error);
/// Returns the text for the caller. It contains nothing of the request.
std::string_view textOf(credential_error Error);

/// The result of reading the credentials of a request.
struct credentials {
  std::optional<key_digest> Key;
  credential_error Error =
      credential_error::Missing; ///< Unless there is a Key.
};

/// Reads the key of a request with "Authorization: Bearer KEY".
credentials readCredentials(const http1::header_list &Headers);

} // namespace turmerichead::relay
