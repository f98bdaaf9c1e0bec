#include "front_pvt.h"

#include "chat_pvt.h"
#include "turmerichead/hash.h"
#include "turmerichead/log.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace turmerichead::host_pvt {

using nlohmann::json;

namespace {

constexpr std::string_view ChatRoute = "/v1/chat/completions";
constexpr std::string_view ServicesRoute = "/v1/services/";
constexpr std::string_view ProgramsRoute = "/v1/programs/";
constexpr std::size_t MaxProgramId = 256;
constexpr std::size_t MaxKeyBytes = 256;
constexpr std::int64_t DefaultDeadlineMs = 600'000;
constexpr std::int64_t MaxDeadlineMs = 3'600'000;

/// A program id consists of names of letters, digits, ".", "_" and "-",
/// separated by slashes.
bool isProgramId(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxProgramId || Text.front() == '/' ||
      Text.back() == '/' || Text.find("//") != std::string_view::npos)
    return false;
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return (std::isalnum(static_cast<unsigned char>(C)) != 0) || C == '.' ||
           C == '_' || C == '-' || C == '/';
  });
}

std::optional<std::int64_t> parseNumber(std::string_view Text) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

std::string errorJson(std::string_view Code, std::string_view Message,
                      std::string_view Outcome, std::string_view Place,
                      std::int64_t RetryAfterMs) {
  json Error = {{"code", Code}, {"message", Message}, {"outcome", Outcome}};
  if (!Place.empty())
    Error["place"] = Place;
  if (RetryAfterMs > 0)
    Error["retry_after_ms"] = RetryAfterMs;
  return json{{"error", std::move(Error)}}.dump(-1, ' ', false,
                                                json::error_handler_t::replace);
}

std::string_view outcomeName(std::uint8_t Outcome) {
  return nameOf(static_cast<call_outcome>(Outcome));
}

const std::vector<http_header> &jsonHeaders() {
  static const std::vector<http_header> Headers = {
      {"Content-Type", "application/json"}};
  return Headers;
}

const std::vector<http_header> &streamHeaders() {
  static const std::vector<http_header> Headers = {
      {"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}};
  return Headers;
}

bool wasAnswered(const call_end &End) {
  return static_cast<call_outcome>(End.Outcome) == call_outcome::Answered;
}

std::string_view bearerToken(const http_request_view &Request) {
  constexpr std::string_view Prefix = "Bearer ";
  std::string_view Value = Request.header("Authorization").value_or("");
  if (!Value.starts_with(Prefix))
    return {};
  return Value.substr(Prefix.size());
}

} // namespace

http_front::http_front(host_context &Context, call_router &Router,
                       front_events Events)
    : Context(Context), Router(Router), Events(std::move(Events)) {}

bool http_front::listen() {
  const auto &Limits = Context.Settings.Limits;
  http_server_settings Settings;
  Settings.MaxBodyBytes = static_cast<std::size_t>(Limits.MaxBodyBytes);
  Settings.MaxHeaderBytes = static_cast<std::size_t>(Limits.MaxHeaderBytes);
  Settings.MaxConnections = static_cast<std::size_t>(Limits.MaxConnections);
  // A body is there twice while it is handed over.
  Settings.MaxHeldBytes = std::max(
      static_cast<std::size_t>(Limits.MaxHeldBytes), 2 * Settings.MaxBodyBytes);
  Settings.IdleTimeout = Limits.IdleTimeout;
  Settings.RequestTimeout = Limits.RequestTimeout;
  http_server_events Handlers;
  Handlers.OnRequest = [this](const http_request_view &Request) {
    onRequest(Request);
  };
  Handlers.OnClientGone = [this](http_exchange_id Exchange) {
    onGone(Exchange);
  };
  Handlers.OnBadRequest = [](int Status, std::string_view Reason) {
    std::string_view Code = "invalid_input";
    if (Status == 413)
      Code = "body_too_large";
    if (Status == 431)
      Code = "headers_too_large";
    if (Status == 503)
      Code = "no_memory";
    return errorJson(Code, Reason, "not_run", "", 0);
  };
  Server = http_server::create(Context.Settings.Host.Listen.toText(), Settings,
                               std::move(Handlers));
  return Server.has_value();
}

void http_front::stopAccepting() { Server->stopAccepting(); }

void http_front::fail(http_exchange_id Exchange, int Status,
                      std::string_view Code, std::string_view Message,
                      std::string_view Place) {
  Context.Metrics.add("requests_refused_total", metricLabel("code", Code));
  Server->respond(Exchange, Status, jsonHeaders(),
                  errorJson(Code, Message, "not_run", Place, 0));
}

// -- Routes -----------------------------------------------------------------

void http_front::onRequest(const http_request_view &Request) {
  std::string_view Path = Request.Path;
  http_exchange_id Exchange = Request.Exchange;
  if (Path == ChatRoute && Request.Method == "POST") {
    onChat(Request);
  } else if (Path.starts_with(ServicesRoute) && Request.Method == "POST") {
    onService(Request);
  } else if (Path.starts_with(ProgramsRoute) &&
             (Request.Method == "GET" || Request.Method == "DELETE")) {
    onProgram(Request);
  } else if (Path == "/healthz" && Request.Method == "GET") {
    Server->respond(Exchange, 200, jsonHeaders(), R"({"status":"ok"})");
  } else if (Path == "/readyz" && Request.Method == "GET") {
    bool Ready = Events.IsReady();
    Server->respond(Exchange, Ready ? 200 : 503, jsonHeaders(),
                    Ready ? R"({"status":"ready"})"
                          : R"({"status":"not ready"})");
  } else if (Path == "/metrics" && Request.Method == "GET") {
    Context.Metrics.set("held_bytes", "",
                        static_cast<double>(Server->heldBytes()));
    Context.Metrics.set("clients_ended", R"(reason="memory")",
                        static_cast<double>(Server->endedForMemory()));
    Server->respond(Exchange, 200,
                    {{"Content-Type", "text/plain; version=0.0.4"}},
                    Events.Metrics());
  } else if (Path == "/status" && Request.Method == "GET") {
    Server->respond(Exchange, 200, jsonHeaders(), Events.Status().dump());
  } else if (Path == "/report" && Request.Method == "GET") {
    onReport(Request);
  } else if (Path == "/admin/drain" && Request.Method == "POST") {
    bool Local = Request.Remote == "127.0.0.1" || Request.Remote == "::1";
    bool Keyed = equalConstantTime(bearerToken(Request), Context.SharedKey);
    if (!Local && !Keyed) {
      fail(Exchange, 403, "unauthorized",
           "drain needs the shared key from another machine");
      return;
    }
    Server->respond(Exchange, 202, jsonHeaders(), R"({"status":"draining"})");
    Events.Drain();
  } else {
    fail(Exchange, 404, "unknown_route",
         "no such route, or not with this method",
         std::string(Request.Method) + ' ' + std::string(Path));
  }
}

void http_front::onReport(const http_request_view &Request) {
  std::string Accept(Request.header("Accept").value_or("text/html"));
  http_exchange_id Exchange = Request.Exchange;
  Events.Report([this, Exchange, Accept](const fleet_report &Report) {
    if (Accept.find("application/json") != std::string::npos)
      Server->respond(Exchange, 200, jsonHeaders(), toJson(Report).dump());
    else if (Accept.find("text/html") != std::string::npos)
      Server->respond(Exchange, 200,
                      {{"Content-Type", "text/html; charset=utf-8"},
                       {"Cache-Control", "no-store"}},
                      renderHtml(Report));
    else
      Server->respond(Exchange, 200,
                      {{"Content-Type", "text/plain; charset=utf-8"},
                       {"Cache-Control", "no-store"}},
                      renderText(Report));
  });
}

// -- Callers ----------------------------------------------------------------

std::optional<http_front::caller>
http_front::checkCaller(const http_request_view &Request) {
  http_exchange_id Exchange = Request.Exchange;
  caller Caller;
  Caller.Entry = Request.header("X-Turmerichead-Entry").value_or("");
  const catalogue_entry *Entry = Context.Config.find(Caller.Entry);
  Caller.Rules = Entry ? Entry->program() : nullptr;
  // The answer is the same for an unknown entry and a wrong token, so that
  // names of entries cannot be probed without a token.
  if (!Caller.Rules || !tokenMatches(*Caller.Rules, bearerToken(Request))) {
    fail(Exchange, 401, "unauthorized",
         "unknown catalogue entry, or not its owner's token",
         "header X-Turmerichead-Entry or Authorization");
    return std::nullopt;
  }
  std::string Parent(Request.header("X-Turmerichead-Parent").value_or(""));
  std::string Program(Request.header("X-Turmerichead-Program").value_or(""));
  std::string Key(Request.header("Idempotency-Key").value_or(""));
  if (Key.size() > MaxKeyBytes) {
    fail(Exchange, 400, "invalid_input", "longer than 256 bytes",
         "header Idempotency-Key");
    return std::nullopt;
  }
  if (Program.empty() && !Key.empty())
    // A single call is a program whose id is its idempotency key.
    Program = "call-" + toHex(hash64(Key, hash64(Caller.Rules->Owner)));
  if (Program.empty())
    Program = "call-" + toHex(Context.Random()) + toHex(Context.Random());
  Caller.Program = Parent.empty() ? Program : Parent + '/' + Program;
  if (!isProgramId(Caller.Program)) {
    fail(Exchange, 400, "invalid_input",
         "program ids are names of letters, digits, '.', '_' and '-', joined "
         "by '/', of at most 256 bytes",
         "header X-Turmerichead-Program or X-Turmerichead-Parent");
    return std::nullopt;
  }
  return Caller;
}

bool http_front::fillCall(const http_request_view &Request,
                          const caller &Caller, call_message &Message) {
  Message.Program = Caller.Program;
  Message.Entry = Caller.Entry;
  Message.Owner = Caller.Rules->Owner;
  Message.Body = Request.Body;
  Message.DeadlineMs = DefaultDeadlineMs;
  if (auto Text = Request.header("X-Turmerichead-Call")) {
    auto Number = parseNumber(*Text);
    if (!Number || *Number < 1 || *Number > INT32_MAX) {
      fail(Request.Exchange, 400, "invalid_input",
           "must be an integer from 1 on", "header X-Turmerichead-Call");
      return false;
    }
    Message.Number = static_cast<std::uint32_t>(*Number);
  }
  if (auto Text = Request.header("X-Turmerichead-Deadline-Ms")) {
    auto Deadline = parseNumber(*Text);
    if (!Deadline || *Deadline < 1 || *Deadline > MaxDeadlineMs) {
      fail(Request.Exchange, 400, "invalid_input",
           "must be an integer of milliseconds from 1 to 3600000",
           "header X-Turmerichead-Deadline-Ms");
      return false;
    }
    Message.DeadlineMs = *Deadline;
  }
  Message.IdempotencyKey = Request.header("Idempotency-Key").value_or("");
  // Without a number or key, this host could not send the call again to the
  // successor of its holder. So it generates a key.
  if (Message.Number == 0 && Message.IdempotencyKey.empty())
    Message.IdempotencyKey =
        "entry-" + toHex(Context.Random()) + toHex(Context.Random());
  return true;
}

void http_front::onChat(const http_request_view &Request) {
  auto Caller = checkCaller(Request);
  if (!Caller)
    return;
  auto Chat = parseChatRequest(Request.Body);
  if (!Chat) {
    fail(Request.Exchange, 400, "invalid_input", lastError().Text, "body");
    return;
  }
  std::string Model = Chat->Model.value_or(Caller->Rules->Model);
  if (Model != Caller->Rules->Model) {
    fail(Request.Exchange, 400, "invalid_input",
         "the entry grants the model " + Caller->Rules->Model, "body: model");
    return;
  }
  call_message Message;
  if (!fillCall(Request, *Caller, Message))
    return;
  Message.Kind = static_cast<std::uint8_t>(call_kind::Model);
  Message.Target = Model;
  Message.WantStream = Chat->Stream;
  start(Request.Exchange, std::move(Message));
}

void http_front::onService(const http_request_view &Request) {
  auto Caller = checkCaller(Request);
  if (!Caller)
    return;
  std::string_view Target = Request.Path.substr(ServicesRoute.size());
  std::string_view Service = Target.substr(0, Target.find('/'));
  const auto &Granted = Caller->Rules->Services;
  if (std::find(Granted.begin(), Granted.end(), Service) == Granted.end()) {
    fail(Request.Exchange, 403, "service_not_granted",
         "the entry does not name this service", "path");
    return;
  }
  call_message Message;
  if (!fillCall(Request, *Caller, Message))
    return;
  Message.Kind = static_cast<std::uint8_t>(call_kind::Service);
  Message.Target = Target;
  std::string_view Path =
      Target.substr(std::min(Service.size() + 1, Target.size()));
  std::string_view Marked =
      Request.header("X-Turmerichead-Non-Idempotent").value_or("");
  Message.NonIdempotent =
      Marked == "true" || isNonIdempotent(*Caller->Rules, Service, Path);
  start(Request.Exchange, std::move(Message));
}

std::optional<std::string>
http_front::checkOwner(const http_request_view &Request) {
  std::string_view Token = bearerToken(Request);
  for (const catalogue_entry *Entry : Context.Config.entries())
    if (const program_entry *Rules = Entry->program();
        Rules && tokenMatches(*Rules, Token))
      return Rules->Owner;
  fail(Request.Exchange, 401, "unauthorized", "no owner has this token",
       "header Authorization");
  return std::nullopt;
}

void http_front::onProgram(const http_request_view &Request) {
  std::string Program(Request.Path.substr(ProgramsRoute.size()));
  if (!isProgramId(Program)) {
    fail(Request.Exchange, 400, "invalid_input", "not a program id", "path");
    return;
  }
  auto Owner = checkOwner(Request);
  if (!Owner)
    return;
  bool Ends = Request.Method == "DELETE";
  http_exchange_id Exchange = Request.Exchange;
  Router.askHolder(Ends ? EndPath : HistoryPath, {Program, *Owner},
                   [this, Exchange](const program_reply &Reply) {
                     Server->respond(Exchange, Reply.HttpStatus, jsonHeaders(),
                                     Reply.Body);
                   });
}

// -- Answers ----------------------------------------------------------------

void http_front::start(http_exchange_id Exchange, call_message Message) {
  if (Context.Draining && Context.Map.Hosts.size() <= 1) {
    fail(Exchange, 503, "draining", "this host is stopping", "");
    return;
  }
  call_state State;
  State.Stream = Message.WantStream;
  State.Number = Message.Number;
  State.Entry = Message.Entry;
  Calls.emplace(Exchange, std::move(State));
  Context.Metrics.add("requests_total");
  answer_sink Sink;
  Sink.OnEvents = [this, Exchange](std::string_view Bytes) {
    onEvents(Exchange, Bytes);
  };
  Sink.OnEnd = [this, Exchange](const call_end &End) { onEnd(Exchange, End); };
  auto Route = Router.route(std::move(Message), std::move(Sink));
  auto Found = Calls.find(Exchange);
  if (Found != Calls.end())
    Found->second.Route = Route;
}

void http_front::onGone(http_exchange_id Exchange) {
  auto Found = Calls.find(Exchange);
  if (Found == Calls.end())
    return;
  auto Route = Found->second.Route;
  Calls.erase(Found);
  Context.Metrics.add("callers_gone_total");
  Router.cancel(Route);
}

void http_front::onEvents(http_exchange_id Exchange, std::string_view Bytes) {
  auto Found = Calls.find(Exchange);
  if (Found == Calls.end() || !Found->second.Stream)
    return;
  if (!Found->second.Begun) {
    Found->second.Begun = true;
    Server->beginStream(Exchange, 200, streamHeaders());
  }
  if (Server->writeChunk(Exchange, Bytes))
    return;
  // A caller that reads too slowly is disconnected. Its answer is stored, and a
  // retry of the call gets it.
  Server->abortStream(Exchange);
  onGone(Exchange);
}

void http_front::checkNumber(const call_state &State, const call_end &End) {
  if (State.Number == 0 || End.Number == 0 || State.Number == End.Number)
    return;
  log::error("an answer came to the wrong call",
             {{"asked", State.Number}, {"answered", End.Number}});
  if (Context.Recorder)
    Context.Recorder->count(
        State.Entry, work_rank::Ordinary, steadyNow(),
        [](entry_counters &Counters) { ++Counters.AnswersMisdirected; });
}

void http_front::onEnd(http_exchange_id Exchange, const call_end &End) {
  auto Found = Calls.find(Exchange);
  if (Found == Calls.end())
    return;
  call_state State = std::move(Found->second);
  Calls.erase(Found);
  checkNumber(State, End);
  bool Answered = wasAnswered(End);
  bool Good = Answered && End.HttpStatus == 200 && !End.StreamBroken;
  if (State.Begun)
    endStream(Exchange, End);
  else if (State.Stream && Good) {
    Server->beginStream(Exchange, 200, streamHeaders());
    endStream(Exchange, End);
  } else
    endWhole(Exchange, End);
}

void http_front::endStream(http_exchange_id Exchange, const call_end &End) {
  bool Answered = wasAnswered(End);
  json Completion = json::parse(End.Body, nullptr, false);
  if (Answered && !End.StreamBroken && Completion.is_object()) {
    std::string Rest =
        End.StreamedBytes < 0
            ? completionAsEvents(Completion)
            : completionTailEvents(Completion,
                                   static_cast<std::size_t>(End.StreamedBytes));
    Server->writeChunk(Exchange, Rest);
    Server->endStream(Exchange);
    return;
  }
  std::string Code = End.Code.empty() ? "stream_broken" : End.Code;
  std::string Text = End.Text.empty() ? "send the same call again for its "
                                        "whole answer"
                                      : End.Text;
  Server->writeChunk(Exchange,
                     "data: " +
                         errorJson(Code, Text, outcomeName(End.Outcome), "",
                                   End.RetryAfterMs) +
                         "\n\n");
  Server->endStream(Exchange);
}

void http_front::endWhole(http_exchange_id Exchange, const call_end &End) {
  std::vector<http_header> Headers;
  if (End.Number != 0)
    Headers.push_back({"X-Turmerichead-Call", std::to_string(End.Number)});
  if (End.Replayed)
    Headers.push_back({"X-Turmerichead-Replayed", "true"});
  if (wasAnswered(End)) {
    Headers.push_back({"Content-Type", End.ContentType});
    Server->respond(Exchange, End.HttpStatus, Headers, End.Body);
    return;
  }
  Headers.push_back({"Content-Type", "application/json"});
  constexpr std::int64_t MsPerSecond = 1000;
  if (End.RetryAfterMs > 0)
    Headers.push_back(
        {"Retry-After",
         std::to_string((End.RetryAfterMs + MsPerSecond - 1) / MsPerSecond)});
  int Status = End.HttpStatus == 0 ? 503 : End.HttpStatus;
  if (static_cast<call_outcome>(End.Outcome) == call_outcome::Unknown)
    Status = 504;
  Server->respond(Exchange, Status, Headers,
                  errorJson(End.Code, End.Text, outcomeName(End.Outcome), "",
                            End.RetryAfterMs));
}

} // namespace turmerichead::host_pvt
