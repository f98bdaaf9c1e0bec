#include "turmerichead/relay_authentication.h"

#include <algorithm>
#include <glib.h>
#include <memory>

namespace turmerichead::relay {

namespace {

constexpr std::string_view HeaderName = "Authorization";
constexpr std::string_view Scheme = "bearer";
// Longer keys are refused before they are hashed.
constexpr std::size_t MaxKeyBytes = 512;

/// Whether \p Byte may be part of a key: visible ASCII.
bool isKeyByte(char Byte) { return Byte > ' ' && Byte <= '~'; }

std::optional<std::uint8_t> digitOf(char Digit) {
  constexpr int Ten = 10;
  if (Digit >= '0' && Digit <= '9')
    return static_cast<std::uint8_t>(Digit - '0');
  if (Digit >= 'a' && Digit <= 'f')
    return static_cast<std::uint8_t>(Digit - 'a' + Ten);
  return std::nullopt;
}

} // namespace

// -- Digests -----------------------------------------------------------------

key_digest digestOf(std::string_view Key) {
  std::unique_ptr<GChecksum, decltype(&g_checksum_free)> Checksum(
      g_checksum_new(G_CHECKSUM_SHA256), g_checksum_free);
  g_checksum_update(Checksum.get(),
                    reinterpret_cast<const guchar *>(Key.data()),
                    static_cast<gssize>(Key.size()));
  key_digest Digest;
  gsize Size = Digest.Bytes.size();
  g_checksum_get_digest(Checksum.get(), Digest.Bytes.data(), &Size);
  return Digest;
}

std::optional<key_digest> digestFromHex(std::string_view Hex) {
  constexpr int BitsPerDigit = 4;
  if (Hex.size() != 2 * key_digest::Size)
    return std::nullopt;
  key_digest Digest;
  for (std::size_t I = 0; I < Digest.Bytes.size(); ++I) {
    auto High = digitOf(Hex[2 * I]);
    auto Low = digitOf(Hex[2 * I + 1]);
    if (!High || !Low)
      return std::nullopt;
    Digest.Bytes[I] = static_cast<std::uint8_t>(*High << BitsPerDigit | *Low);
  }
  return Digest;
}

std::string hexOf(const key_digest &Digest) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned BitsPerDigit = 4;
  constexpr unsigned DigitMask = 15;
  std::string Hex;
  Hex.reserve(2 * Digest.Bytes.size());
  for (unsigned Byte : Digest.Bytes) {
    Hex += Digits[Byte >> BitsPerDigit];
    Hex += Digits[Byte & DigitMask];
  }
  return Hex;
}

// -- Key directory -----------------------------------------------------------

void key_directory::add(const key_digest &Key, std::string_view Organisation) {
  if (Names.empty() || Names.back() != Organisation)
    Names.emplace_back(Organisation);
  Rows.push_back({Key, static_cast<std::uint32_t>(Names.size() - 1)});
}

std::size_t key_directory::seal() {
  std::size_t Added = Rows.size();
  std::sort(Rows.begin(), Rows.end());
  auto HasSameKey = [](const row &Left, const row &Right) {
    return Left.Key == Right.Key;
  };
  Rows.erase(std::unique(Rows.begin(), Rows.end(), HasSameKey), Rows.end());
  Rows.shrink_to_fit();
  return Added - Rows.size();
}

const std::string *key_directory::find(const key_digest &Key) const {
  auto Row = std::lower_bound(Rows.begin(), Rows.end(), row{Key, 0});
  if (Row == Rows.end() || Row->Key != Key)
    return nullptr;
  return &Names[Row->Organisation];
}

// -- Credentials of a request ------------------------------------------------

std::string_view nameOf(credential_error Error) {
  switch (Error) {
  case credential_error::Missing:
    return "missing";
  case credential_error::Repeated:
    return "repeated";
  case credential_error::Scheme:
    return "scheme";
  case credential_error::Malformed:
    return "malformed";
  case credential_error::Unknown:
    return "unknown_key";
  }
  return "unknown";
}

std::string_view textOf(credential_error Error) {
  switch (Error) {
  case credential_error::Missing:
    return "the request has no key: send Authorization: Bearer KEY";
  case credential_error::Repeated:
    return "the request has several Authorization headers";
  case credential_error::Scheme:
    return "the Authorization header is not of the scheme Bearer";
  case credential_error::Malformed:
    return "the key is empty, too long or has bytes that no key has";
  case credential_error::Unknown:
    return "the key is not known";
  }
  return "the request is not authenticated";
}

credentials readCredentials(const http1::header_list &Headers) {
  const std::string *Value = Headers.find(HeaderName);
  if (!Value)
    return {{}, credential_error::Missing};
  if (Headers.count(HeaderName) > 1)
    return {{}, credential_error::Repeated};
  std::string_view Text = *Value;
  std::size_t SchemeEnd = std::min(Text.find(' '), Text.size());
  if (!http1::equalNames(Text.substr(0, SchemeEnd), Scheme))
    return {{}, credential_error::Scheme};
  std::string_view Key = Text.substr(SchemeEnd);
  Key.remove_prefix(std::min(Key.find_first_not_of(' '), Key.size()));
  Key = Key.substr(0, Key.find_last_not_of(' ') + 1);
  bool IsValid = !Key.empty() && Key.size() <= MaxKeyBytes &&
                 std::all_of(Key.begin(), Key.end(), isKeyByte);
  if (!IsValid)
    return {{}, credential_error::Malformed};
  return {digestOf(Key), {}};
}

} // namespace turmerichead::relay
