#include "turmerichead/hash.h"

#include <glib.h>
#include <xxhash.h>

namespace turmerichead {

std::uint64_t hash64(std::string_view Bytes, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

std::string toHex(std::uint64_t Value) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Result(16, '0');
  for (int I = 15; I >= 0; --I) {
    Result[static_cast<std::size_t>(I)] = Digits[Value & 15U];
    Value >>= 4U;
  }
  return Result;
}

std::string hmacSha256(std::string_view Key, std::string_view Message) {
  char *Text = g_compute_hmac_for_data(
      G_CHECKSUM_SHA256, reinterpret_cast<const guchar *>(Key.data()),
      Key.size(), reinterpret_cast<const guchar *>(Message.data()),
      Message.size());
  std::string Result(Text);
  g_free(Text);
  return Result;
}

bool equalConstantTime(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  unsigned Difference = 0;
  for (std::size_t I = 0; I < Left.size(); ++I)
    Difference |= static_cast<unsigned char>(Left[I]) ^
                  static_cast<unsigned char>(Right[I]);
  return Difference == 0;
}

} // namespace turmerichead
