// Asks an entry host where it would send a request now, and why.

#include "commands.h"
#include "session.h"

#include "turmerichead/endpoint.h"
#include "turmerichead/error.h"
#include "turmerichead/request_target.h"

#include <array>
#include <iomanip>
#include <iostream>
#include <memory>
#include <sstream>

namespace turmerichead::ctl {
namespace {

using nlohmann::json;

constexpr milliseconds CallTimeout{5'000};

/// Returns the URL of the question at the host \p Address.
std::string urlOf(const std::string &Address, const options &Options) {
  const where_options &Where = Options.Where;
  const std::array<std::pair<std::string_view, const std::string *>, 6>
      Parameters = {{{"host", &Options.Host},
                     {"path", &Where.Path},
                     {"organisation", &Where.Organisation},
                     {"program", &Where.Program},
                     {"previous_turn", &Where.PreviousTurn},
                     {"method", &Where.Method}}};
  request_target Url("http://" + Address);
  Url.segment("where");
  for (const auto &[Name, Value] : Parameters)
    if (!Value->empty())
      Url.parameter(Name, *Value);
  return Url.text();
}

/// Returns a field as text: "-" if it is missing or null, and numbers without
/// their fractions.
std::string textAt(const json &Row, const char *Key) {
  auto Value = Row.find(Key);
  if (Value == Row.end() || Value->is_null())
    return "-";
  if (Value->is_string())
    return Value->get<std::string>();
  std::ostringstream Text;
  if (Value->is_number_float())
    Text << std::fixed << std::setprecision(1) << Value->get<double>();
  else
    Text << Value->dump();
  return Text.str();
}

/// Returns a time in milliseconds with its unit, or "-".
std::string timeAt(const json &Row, const char *Key) {
  std::string Text = textAt(Row, Key);
  return Text == "-" ? Text : Text + " ms";
}

json objectAt(const json &Row, const char *Key) {
  auto Value = Row.find(Key);
  return Value != Row.end() && Value->is_object() ? *Value : json::object();
}

json arrayAt(const json &Row, const char *Key) {
  auto Value = Row.find(Key);
  return Value != Row.end() && Value->is_array() ? *Value : json::array();
}

bool isRefused(const json &Admission) {
  return textAt(Admission, "refused") == "true";
}

std::string joined(const json &Texts) {
  std::string Result;
  for (const json &Text : Texts)
    if (Text.is_string())
      Result += (Result.empty() ? "" : ",") + Text.get<std::string>();
  return Result.empty() ? "-" : Result;
}

void printRequest(const json &Report) {
  json Config = objectAt(Report, "config");
  json Route = objectAt(Report, "route");
  std::cout << "entry host " << textAt(Report, "entry_host")
            << " in data centre " << textAt(Report, "data_centre")
            << ", configuration " << textAt(Config, "version") << ", age "
            << timeAt(Config, "age_ms") << '\n'
            << "route " << textAt(Route, "name") << " ("
            << textAt(Route, "path_prefix") << ", " << textAt(Route, "kind")
            << "), service " << textAt(Report, "service") << '\n';
  json Organisation = objectAt(Report, "organisation");
  if (Organisation.empty())
    return;
  std::cout << "organisation " << textAt(Organisation, "name");
  if (textAt(Organisation, "rate_per_s") == "-")
    std::cout << ", no rate limit\n";
  else
    std::cout << ", rate limit " << textAt(Organisation, "rate_per_s")
              << "/s, burst " << textAt(Organisation, "burst")
              << ", over its share: " << textAt(Organisation, "over_share")
              << '\n';
}

void printAdmission(const json &Admission) {
  if (isRefused(Admission))
    std::cout << "refused with " << textAt(Admission, "status") << ": "
              << textAt(Admission, "rule");
  else
    std::cout << "admitted";
  if (textAt(Admission, "retry_after_ms") != "-")
    std::cout << "; retry after " << timeAt(Admission, "retry_after_ms");
  std::cout << " (starts a program: " << textAt(Admission, "starts_program")
            << ", rank " << textAt(Admission, "rank") << ", slowdown "
            << textAt(Admission, "slowdown") << ", "
            << textAt(Admission, "in_flight") << " in flight, "
            << textAt(Admission, "slots") << " slots for "
            << textAt(Admission, "entry_hosts") << " entry hosts)\n";
}

void printChoice(const json &Report) {
  bool Refused = isRefused(objectAt(Report, "admission"));
  std::cout << (Refused ? "if it were admitted: " : "upstream ")
            << textAt(Report, "chosen") << ", rule: " << textAt(Report, "rule")
            << ", home of the program: " << textAt(Report, "home");
  if (textAt(Report, "via") != "-")
    std::cout << ", by way of " << textAt(Report, "via");
  std::cout << '\n';
  for (const json &Note : arrayAt(Report, "notes"))
    std::cout << "note: " << (Note.is_string() ? Note.get<std::string>() : "-")
              << '\n';
}

void printCandidates(const json &Candidates) {
  constexpr int Width = 14;
  constexpr std::array Columns = {
      "upstream", "data_centre", "predicted_ms", "in_flight",
      "slots",    "distance",    "limit_per_s",  "samples_age_ms"};
  if (Candidates.empty())
    return;
  for (const char *Column : Columns)
    std::cout << std::left << std::setw(Width) << Column << ' ';
  std::cout << "penalties\n";
  for (const json &Row : Candidates) {
    for (const char *Column : Columns)
      std::cout << std::left << std::setw(Width) << textAt(Row, Column) << ' ';
    std::cout << joined(arrayAt(Row, "penalties")) << '\n';
  }
}

/// Prints why there is no report.
int explainFailure(const std::string &At, const response &Response) {
  std::cerr << At << ": ";
  if (Response.Result.Code != error_code::None) {
    std::cerr << "the host does not answer: " << Response.Result.Text << '\n';
    return Failed;
  }
  json Error = json::parse(Response.Body, nullptr, false);
  std::string Text = Error.is_object() ? textAt(Error, "error") : "-";
  if (Text == "-")
    Text = "HTTP " + std::to_string(Response.Result.Status) +
           "; it is no entry host, or one of an earlier version";
  std::cerr << Text << '\n';
  return Failed;
}

} // namespace

int where(const options &Options, arguments) {
  const where_options &Where = Options.Where;
  auto Endpoint = ip_endpoint::parse(Where.At);
  if (!Endpoint || Options.Host.empty() || !Where.Path.starts_with('/')) {
    std::cerr << "usage: turmericheadctl where --at IP:PORT --host NAME --path "
                 "/PATH\n  [--organisation NAME] [--program ID] "
                 "[--previous_turn ID] [--method METHOD]\n  [--json]; the port "
                 "is that of /metrics\n";
    return BadInput;
  }
  http_request Request;
  Request.Method = "GET";
  Request.Url = urlOf(Endpoint->toText(), Options);
  Request.Timeout = CallTimeout;
  response Response = fetch(Request);
  constexpr int Ok = 200;
  if (Response.Result.Code != error_code::None || Response.Result.Status != Ok)
    return explainFailure(Where.At, Response);
  json Report = json::parse(Response.Body, nullptr, false);
  if (!Report.is_object()) {
    std::cerr << Where.At << ": the answer is no report\n";
    return Failed;
  }
  if (Options.Json) {
    std::cout << Response.Body << '\n';
    return Good;
  }
  printRequest(Report);
  printAdmission(objectAt(Report, "admission"));
  printChoice(Report);
  printCandidates(arrayAt(Report, "candidates"));
  return Good;
}

} // namespace turmerichead::ctl
