// Credentials of requests, and the directory of keys.

#include "call_pvt.h"
#include "turmerichead/relay_authentication.h"

#include <doctest/doctest.h>

using namespace turmerichead;
using namespace turmerichead::relay;

namespace {

std::optional<credential_error> errorOf(const http1::header_list &Headers) {
  credentials Result = readCredentials(Headers);
  if (Result.Key)
    return std::nullopt;
  return Result.Error;
}

std::optional<credential_error> errorOf(std::string_view Value) {
  http1::header_list Headers;
  Headers.add("authorization", Value);
  return errorOf(Headers);
}

} // namespace

TEST_CASE("credentials_that_are_invalid_have_a_reason") {
  // Guards against requests without a usable key that are served, or refused
  // without telling their caller why.
  CHECK(errorOf(http1::header_list()) == credential_error::Missing);
  CHECK(errorOf({{"Authorization", "Bearer a"},
                 {"authorization", "Bearer a"}}) == credential_error::Repeated);
  CHECK(errorOf("") == credential_error::Scheme);
  CHECK(errorOf("a") == credential_error::Scheme);
  CHECK(errorOf("Basic a") == credential_error::Scheme);
  CHECK(errorOf("Bearer") == credential_error::Malformed);
  CHECK(errorOf("Bearer  ") == credential_error::Malformed);
  CHECK(errorOf("Bearer a b") == credential_error::Malformed);
  CHECK(errorOf("Bearer \xc3\xa4") == credential_error::Malformed);
  CHECK(errorOf("Bearer " + std::string(513, 'a')) ==
        credential_error::Malformed);
  CHECK(!errorOf("Bearer " + std::string(512, 'a')));
  CHECK(!errorOf("bearer  a "));
  CHECK(readCredentials({{"Authorization", "BEARER abc"}}).Key ==
        digestOf("abc"));
}

TEST_CASE("digests_are_sha256_and_survive_hexadecimal") {
  key_digest Digest = digestOf("abc");
  std::string Hex = hexOf(Digest);
  CHECK(Hex ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(digestFromHex(Hex) == Digest);
  CHECK(!digestFromHex(Hex.substr(1)));
  Hex[3] = 'x';
  CHECK(!digestFromHex(Hex));
}

TEST_CASE("keys_of_many_organisations_are_found") {
  constexpr int Organisations = 510;
  constexpr int KeysEach = 20;
  auto KeyOf = [](int Organisation, int Key) {
    return digestOf(std::to_string(Organisation) + "/" + std::to_string(Key));
  };
  key_directory Keys;
  for (int I = 0; I < Organisations; ++I)
    for (int Key = 0; Key < KeysEach; ++Key)
      Keys.add(KeyOf(I, Key), "o" + std::to_string(I));
  CHECK(Keys.seal() == 0);
  CHECK(Keys.size() == Organisations * KeysEach);
  for (int I : {0, 17, Organisations - 1}) {
    const std::string *Name = Keys.find(KeyOf(I, KeysEach - 1));
    REQUIRE(Name);
    CHECK(*Name == "o" + std::to_string(I));
  }
  CHECK(!Keys.find(KeyOf(Organisations, 0)));
  CHECK(!key_directory().find(KeyOf(0, 0)));
}

TEST_CASE("a_key_that_is_held_twice_belongs_to_the_first_organisation") {
  key_directory Keys;
  Keys.add(digestOf("k"), "first");
  Keys.add(digestOf("k"), "second");
  CHECK(Keys.seal() == 1);
  CHECK(*Keys.find(digestOf("k")) == "first");
}

TEST_CASE("ids_of_different_organisations_differ") {
  CHECK(scopedId("", "t1") == "t1");
  CHECK(scopedId("a", "").empty());
  CHECK(scopedId("a", "t1") != scopedId("b", "t1"));
  CHECK(scopedId("a", "bt1") != scopedId("ab", "t1"));
}
