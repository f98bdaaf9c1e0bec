// Commands that ask a host.

#include "commands.h"
#include "session.h"
#include "turmerichead/file.h"
#include "turmerichead/json_fields.h"

#include "turmerichead/endpoint.h"
#include "turmerichead/error.h"

#include <iomanip>
#include <iostream>

namespace turmerichead::ctl {
namespace {

using nlohmann::json;

constexpr milliseconds CallTimeout{10'000};

/// Returns the base URL of a host, or prints the error and returns an empty
/// string.
std::string urlOf(const std::string &Address) {
  auto Endpoint = ip_endpoint::parse(Address);
  if (Endpoint)
    return "http://" + Endpoint->toText();
  std::cerr << "the address of a host is needed: --host ip:port, or "
               "--settings FILE of a host\n";
  return "";
}

/// Prints why a call has failed.
int explain(const std::string &Url, const response &Response) {
  std::cerr << Url << ": ";
  if (Response.Result.Code != error_code::None)
    std::cerr << Response.Result.Text << '\n';
  else
    std::cerr << "HTTP " << Response.Result.Status << ' ' << Response.Body
              << '\n';
  return Failed;
}

bool isGood(const response &Response) {
  constexpr int FirstError = 300;
  return Response.Result.Code == error_code::None &&
         Response.Result.Status < FirstError;
}

http_request getRequest(std::string Url, std::string Accept) {
  http_request Request;
  Request.Method = "GET";
  Request.Url = std::move(Url);
  Request.Headers = {{"Accept", std::move(Accept)}};
  Request.Timeout = CallTimeout;
  return Request;
}

std::string textAt(const json &Row, const char *Key) {
  auto Found = Row.find(Key);
  if (Found == Row.end())
    return "-";
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

void printRows(const json &Rows, std::initializer_list<const char *> Keys) {
  constexpr int Width = 14;
  for (const char *Key : Keys)
    std::cout << std::left << std::setw(Width) << Key << ' ';
  std::cout << '\n';
  for (const json &Row : Rows) {
    for (const char *Key : Keys)
      std::cout << std::left << std::setw(Width) << textAt(Row, Key) << ' ';
    std::cout << '\n';
  }
}

} // namespace

int status(const options &Options, arguments) {
  std::string Url = urlOf(Options.Host);
  if (Url.empty())
    return BadInput;
  response Response = fetch(getRequest(Url + "/status", "application/json"));
  if (!isGood(Response))
    return explain(Url, Response);
  json Status = json::parse(Response.Body, nullptr, false);
  if (Options.Json || !Status.is_object()) {
    std::cout << Response.Body << '\n';
    return Good;
  }
  std::cout << "host " << textAt(Status, "host") << ", map version "
            << textAt(Status, "map_version") << ", configuration version "
            << textAt(Status, "config_version")
            << (flagAt(Status, "draining") ? ", draining" : "") << "\n\n";
  printRows(Status.value("hosts", json::array()),
            {"id", "data_centre", "state", "health", "shards", "http"});
  std::cout << '\n';
  printRows(Status.value("upstreams", json::array()),
            {"name", "kind", "address", "phase"});
  return Good;
}

int report(const options &Options, arguments) {
  std::string Url = urlOf(Options.Host);
  if (Url.empty())
    return BadInput;
  std::string Accept = Options.Json ? "application/json" : "text/plain";
  response Response = fetch(getRequest(Url + "/report", Accept));
  if (!isGood(Response))
    return explain(Url, Response);
  std::cout << Response.Body << (Options.Json ? "\n" : "");
  return Good;
}

int drain(const options &Options, arguments Rest) {
  std::string Url = urlOf(Rest.empty() ? Options.Host : Rest[0]);
  if (Url.empty())
    return BadInput;
  http_request Request;
  Request.Method = "POST";
  Request.Url = Url + "/admin/drain";
  Request.Timeout = CallTimeout;
  if (!Options.KeyFile.empty()) {
    auto Key = readWholeFile(Options.KeyFile);
    if (!Key) {
      std::cerr << lastError().Text << '\n';
      return BadInput;
    }
    // The daemon removes trailing newlines, too.
    Key->erase(Key->find_last_not_of('\n') + 1);
    Request.Headers = {{"Authorization", "Bearer " + *Key}};
  }
  response Response = fetch(Request);
  if (!isGood(Response))
    return explain(Url, Response);
  std::cout << "the host drains: it takes no new work, hands its shards "
               "over and ends when its calls have ended\n";
  return Good;
}

} // namespace turmerichead::ctl
