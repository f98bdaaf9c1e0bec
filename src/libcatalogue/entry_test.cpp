#include "turmerichead/catalogue.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <fstream>
#include <iterator>

using namespace turmerichead;

namespace {

const std::string Digest = tokenDigest("secret-of-gleisfenster");

std::string yardToml() {
  return "name = \"yard\"\nowner = \"gleisfenster\"\nowner_token_sha256 = \"" +
         Digest + R"("
rank = "urgent"
model = "dispatch-7b"
services = ["booking"]
target_ms = 8000
non_idempotent = ["booking/place*", "booking/cancel"]
[limits]
tokens = 60000
)";
}

catalogue_entry yard() {
  findings Findings;
  auto Entries = entriesFromText(yardToml(), "yard.toml", Findings);
  REQUIRE_MESSAGE(Entries, Findings.toText());
  REQUIRE(Entries->size() == 1);
  return (*Entries)[0];
}

} // namespace

TEST_CASE("an operator's file is read with defaults and goes through JSON") {
  catalogue_entry Entry = yard();
  REQUIRE(Entry.program());
  CHECK(Entry.Name == "yard");
  CHECK(Entry.program()->Rank == work_rank::Urgent);
  CHECK(Entry.program()->Limits.Tokens == 60'000);
  CHECK(Entry.program()->Limits.Turns == 63);
  findings Findings;
  auto Back = entryFromJson("yard", toJson(Entry), "platform", Findings);
  CHECK(Findings.toText() == "");
  REQUIRE(Back);
  CHECK(*Back == Entry);
}

TEST_CASE("several entries in one file; findings of all of them together") {
  findings Findings;
  auto Entries = entriesFromText(R"([[entry]]
name = "fleet"
type = "fleet"
ordinary_floor_percent = 25
[[entry]]
name = "week"
owner = "garterline"
rank = "soon"
target_ms = 0
services = ["orders"]
non_idempotent = ["stock/*"]
[entry.limits]
tokens = -4
colour = 1
)",
                                 "two.toml", Findings);
  CHECK(!Entries);
  std::string Text = Findings.toText();
  for (const char *Expected : {
           "two.toml:8:1: entry[1].rank: must be one of: urgent ordinary",
           "entry[1].owner_token_sha256: is missing",
           "two.toml:9:1: entry[1].target_ms: is out of range: 0",
           "two.toml:13:1: entry[1].limits.tokens: is out of range: -4",
           "two.toml:14:1: entry[1].limits.colour: is not a known key",
       }) {
    CAPTURE(Text);
    CHECK_MESSAGE(Text.find(Expected) != std::string::npos, Expected);
  }
  CHECK(Findings.rows().size() == 5);
}

TEST_CASE("JSON files: syntax errors have a place, numbers are not wrapped") {
  findings Findings;
  CHECK(!entriesFromText("{\n \"name\": \"a\",,\n}", "a.json", Findings));
  REQUIRE(Findings.rows().size() == 1);
  CHECK(Findings.rows()[0].Place.Line == 2);

  nlohmann::json Spec = toJson(yard());
  Spec["limits"]["tokens"] = 18'446'744'073'709'551'615ULL;
  findings Huge;
  CHECK(!entryFromJson("yard", Spec, "p", Huge));
  CHECK(Huge.rows()[0].Place.Key == "limits.tokens");
  Spec["limits"]["tokens"] = 1.5;
  findings Fraction;
  CHECK(!entryFromJson("yard", Spec, "p", Fraction));
}

TEST_CASE("rules over two fields") {
  nlohmann::json Spec = toJson(yard());
  Spec["limits"]["wall_ms"] = 10;
  Spec["limits"]["max_output_tokens"] = 70'000;
  Spec["non_idempotent"] = {"booking", "payment/x"};
  findings Findings;
  CHECK(!entryFromJson("yard", Spec, "p", Findings));
  CHECK(Findings.rows().size() == 3);
}

TEST_CASE("the fleet entry has its name and type for itself") {
  nlohmann::json Fleet = toJson(catalogue_entry{"x", defaultFleetEntry()});
  findings Findings;
  CHECK(entryFromJson("fleet", Fleet, "p", Findings));
  CHECK(!entryFromJson("other", Fleet, "p", Findings));
  CHECK(!entryFromJson("fleet", toJson(yard()), "p", Findings));
  CHECK(!entryFromJson("Not a name", toJson(yard()), "p", Findings));
  CHECK(!entryFromJson("yard", nlohmann::json::array(), "p", Findings));
  CHECK(!entryFromJson("yard", nullptr, "p", Findings));
}

TEST_CASE("a diff names what changed and shows no digest") {
  catalogue_entry Before = yard();
  catalogue_entry After = Before;
  auto Program = *Before.program();
  Program.Limits.Tokens = 70'000;
  Program.OwnerTokenSha256 = tokenDigest("other");
  After.Body = Program;
  auto Changes = diffEntries(Before, After);
  REQUIRE(Changes.size() == 2);
  CHECK(Changes[0] == field_change{"limits.tokens", "60000", "70000"});
  CHECK(Changes[1].Key == "owner_token_sha256");
  CHECK(Changes[1].Before == Digest.substr(0, 8) + "...");
  CHECK(diffEntries(Before, Before).empty());
  CHECK(diffEntries(std::nullopt, Before).size() > 10);
}

TEST_CASE("owner tokens") {
  CHECK(tokenMatches(*yard().program(), "secret-of-gleisfenster"));
  CHECK(!tokenMatches(*yard().program(), "secret-of-gleisfenste"));
  CHECK(!tokenMatches(*yard().program(), ""));
}

TEST_CASE("patterns of non-idempotent calls") {
  program_entry Entry = *yard().program();
  CHECK(isNonIdempotent(Entry, "booking", "/place/track-3"));
  CHECK(isNonIdempotent(Entry, "booking", "cancel?id=4"));
  CHECK(!isNonIdempotent(Entry, "booking", "/list"));
  CHECK(!isNonIdempotent(Entry, "booking", "cancelled"));
  Entry.NonIdempotent = {"payment"};
  CHECK(isNonIdempotent(Entry, "payment", "any/thing"));
  CHECK(!isNonIdempotent(Entry, "payments", "x"));
}

TEST_CASE("upstream objects") {
  nlohmann::json Spec = {
      {"kind", "runner"},          {"address", "10.0.0.9:8000"},
      {"models", {"dispatch-7b"}}, {"slots", 8},
      {"checks_fencing", true},    {"zone", "other tools may add keys"}};
  findings Findings;
  auto Runner = upstreamFromJson("r1", Spec, nullptr, "p", Findings);
  CHECK(Findings.toText() == "");
  REQUIRE(Runner);
  CHECK(Runner->ChecksFencing);
  CHECK(Runner->Phase == upstream_phase::Live);
  auto Leaving =
      upstreamFromJson("r1", Spec, {{"phase", "leaving"}}, "p", Findings);
  REQUIRE(Leaving);
  CHECK(Leaving->Phase == upstream_phase::Leaving);
  Spec["models"] = nlohmann::json::array();
  Spec["slots"] = 0;
  CHECK(!upstreamFromJson("r1", Spec, nullptr, "p", Findings));
  CHECK(Findings.rows().size() == 2);
}

namespace {

/// \p Text with bytes replaced, removed and repeated, as \p Edits say.
std::string mutate(std::string Text, const std::vector<std::uint32_t> &Edits) {
  constexpr std::string_view Bytes = "[]{}\"'=.,#\n-+0919eE\\u\xff _:";
  for (std::uint32_t Edit : Edits) {
    if (Text.empty())
      break;
    std::size_t Place = Edit / 64 % Text.size();
    if (Edit % 4 == 0)
      Text.erase(Place, 1 + Edit / 4 % 16);
    else if (Edit % 4 == 1)
      Text.insert(Place, Text.substr(Edit % Text.size(), Edit / 4 % 16));
    else
      Text[Place] = Bytes[Edit / 4 % Bytes.size()];
  }
  return Text;
}

void checkMutant(const std::string &Text) {
  findings Findings;
  auto Entries = entriesFromText(Text, "f", Findings);
  RC_ASSERT(Entries.has_value() == Findings.empty());
  if (!Entries)
    return;
  for (const catalogue_entry &Entry : *Entries) {
    findings Again;
    auto Back = entryFromJson(Entry.Name, toJson(Entry), "f", Again);
    RC_ASSERT(Back == Entry);
  }
}

} // namespace

TEST_CASE("fuzz: broken files end in findings, accepted ones read back") {
  nlohmann::json Named = toJson(yard());
  Named["name"] = "yard";
  std::string Toml = yardToml();
  std::string Json = Named.dump(1);
  CHECK(rc::check("mutated files", [&] {
    auto Edits = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 1'000'000));
    checkMutant(mutate(Toml, Edits));
    checkMutant(mutate(Json, Edits));
    findings Findings;
    host_settings::parse(mutate(renderSettingsHelp() + Toml, Edits), "f",
                         Findings);
    RC_ASSERT(!Findings.empty());
  }));
}

TEST_CASE("docs/CATALOGUE.md holds the table of the fields") {
  std::ifstream Stream(TURMERICHEAD_DOCS "/CATALOGUE.md");
  std::string Page{std::istreambuf_iterator<char>(Stream), {}};
  CHECK(Page.find(renderEntryTable()) != std::string::npos);
}
