#include "field_pvt.h"

#include "turmerichead/error.h"
#include "turmerichead/settings.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <iterator>

using namespace turmerichead;

namespace {

const std::string Minimal = R"([host]
id = "yard-a-1"
data_centre = "a"
region = "north"
listen = "127.0.0.1:8080"
peer_listen = "127.0.0.1:8081"
[platform]
url = "http://127.0.0.1:6443"
[cluster]
shared_key_file = "shared.key"
)";

std::string readFile(const std::string &Path) {
  std::ifstream Stream(Path);
  return {std::istreambuf_iterator<char>(Stream), {}};
}

} // namespace

TEST_CASE("a minimal settings file gets the defaults of the table") {
  findings Findings;
  auto Settings = host_settings::parse(Minimal, "host.toml", Findings);
  CHECK(Findings.toText() == "");
  REQUIRE(Settings);
  CHECK(Settings->Host.Id == "yard-a-1");
  CHECK(Settings->Host.Listen.Port == 8080);
  CHECK(Settings->Platform.Timeout == milliseconds(1000));
  CHECK(Settings->Cluster.Shards == 64);
  CHECK(Settings->Gate.GroupSize == 16);
  CHECK(Settings->Log.Level == "info");
}

TEST_CASE("all findings are reported together, each with its place") {
  findings Findings;
  auto Settings = host_settings::parse(R"([host]
id = "Yard A"
data_centre = "a"
listen = "localhost:80"
peer_listen = "127.0.0.1:8081"
colour = "red"
[cluster]
shards = 0
heartbeat_ms = "fast"
[limits]
max_body_bytes = 99999999999999
[[peer_route]]
host = "yard-b-1"
[nothing]
a = 1
)",
                                       "host.toml", Findings);
  CHECK(!Settings);
  std::string Text = Findings.toText();
  for (const char *Expected : {
           "host.toml:2:1: host.id: must be a name",
           "host.toml:1:2: host.region: is missing",
           "host.toml:4:1: host.listen: 'localhost:80' is not an IP number",
           "host.toml:6:1: host.colour: is not a known key",
           "host.toml:8:1: cluster.shards: is out of range: 0, must be 1 to",
           "host.toml:9:1: cluster.heartbeat_ms: must be an integer ms",
           "host.toml:11:1: limits.max_body_bytes: is out of range",
           "peer_route[0].address: is missing",
           "host.toml:14:2: nothing: is not a known key",
           "platform.url: is missing",
           "cluster.shared_key_file: is missing",
       }) {
    CAPTURE(Text);
    CHECK_MESSAGE(Text.find(Expected) != std::string::npos, Expected);
  }
  CHECK(Findings.rows().size() == 11);
}

TEST_CASE("a syntax error has line and column") {
  findings Findings;
  CHECK(!host_settings::parse("[host]\nid = \n", "host.toml", Findings));
  REQUIRE(Findings.rows().size() == 1);
  CHECK(Findings.rows()[0].Place.Line == 2);
}

TEST_CASE("rules over two settings") {
  findings Findings;
  std::string Text = Minimal + "heartbeat_ms = 500\n"
                               "suspect_ms = 1000\n";
  Text.replace(Text.find("127.0.0.1:8081"), 14, "127.0.0.1:8080");
  CHECK(!host_settings::parse(Text, "host.toml", Findings));
  REQUIRE(Findings.rows().size() == 2);
  CHECK(Findings.rows()[0].Place.Key == "cluster.suspect_ms");
  CHECK(Findings.rows()[0].Place.Line == 12);
  CHECK(Findings.rows()[1].Place.Key == "host.peer_listen");
}

TEST_CASE("peer routes") {
  findings Findings;
  std::string Route = "[[peer_route]]\nhost = \"b\"\naddress = "
                      "\"10.0.0.1:81\"\n";
  auto Settings = host_settings::parse(Minimal + Route, "f", Findings);
  REQUIRE(Settings);
  REQUIRE(Settings->PeerRoutes.size() == 1);
  CHECK(Settings->PeerRoutes[0].Address.toText() == "10.0.0.1:81");
  CHECK(!host_settings::parse(Minimal + Route + Route, "f", Findings));
  CHECK(Findings.toText() == "f:15:1: peer_route[1].host: is named twice\n");
}

TEST_CASE("a key that imitates a path is not taken for it") {
  findings Findings;
  CHECK(!host_settings::parse(Minimal + "\"host.id\" = 1\n", "f", Findings));
  CHECK(!host_settings::parse("\"cluster.shards\" = 7\n" + Minimal, "f",
                              Findings));
}

TEST_CASE("a file that cannot be read is a finding") {
  findings Findings;
  CHECK(!host_settings::load("/nonexistent/host.toml", Findings));
  CHECK(Findings.toText() == "/nonexistent/host.toml: cannot be read\n");
}

TEST_CASE("endpoints are IP numbers with a port") {
  for (const char *Good : {"10.0.0.5:8080", "[fd00::5]:1"}) {
    auto Endpoint = ip_endpoint::parse(Good);
    REQUIRE(Endpoint);
    CHECK(Endpoint->toText() == Good);
  }
  for (const char *Bad : {"", ":", "a:1", "10.0.0.5", "10.0.0.5:0", "fd00::5:1",
                          "10.0.0.5:65536", "10.0.0.5:8x", "[10.0.0.5]:1"}) {
    CAPTURE(Bad);
    CHECK(!ip_endpoint::parse(Bad));
    CHECK(lastError().Code == error_code::InvalidInput);
  }
}

TEST_CASE("every default of the tables is within its own range") {
  auto Rows = settingTable();
  for (const auto &Row : entryTable())
    Rows.push_back(Row);
  for (const setting_info &Row : Rows) {
    CAPTURE(Row.Key);
    CHECK(!Row.Text.empty());
    CHECK((Row.Required || Row.Type != value_type::Integer ||
           !Row.Default.empty()));
  }
  findings Findings;
  CHECK(host_settings::parse(Minimal, "f", Findings));
  nlohmann::json Fleet = toJson(catalogue_entry{"fleet", defaultFleetEntry()});
  CHECK(entryFromJson("fleet", Fleet, "f", Findings));
}

TEST_CASE("docs/SETTINGS.md is what the table renders") {
  CHECK(readFile(TURMERICHEAD_DOCS "/SETTINGS.md") == renderSettingsPage());
}

TEST_CASE("the help names every setting") {
  std::string Help = renderSettingsHelp();
  for (const setting_info &Row : settingTable())
    CHECK(Help.find("  " + Row.Key + " (") != std::string::npos);
}
