#include "platform_pvt.h"

#include "turmerichead/error.h"
#include "turmerichead/json_text.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace turmerichead {

using namespace pvt;

using nlohmann::json;

// -- Helpers -------------------------------------------------

std::string_view nameOf(platform_outcome Outcome) {
  switch (Outcome) {
  case platform_outcome::Ok:
    return "ok";
  case platform_outcome::NotFound:
    return "not_found";
  case platform_outcome::Conflict:
    return "conflict";
  case platform_outcome::Invalid:
    return "invalid";
  case platform_outcome::Unavailable:
    return "unavailable";
  case platform_outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::string_view nameOf(platform_verb Verb) {
  switch (Verb) {
  case platform_verb::Get:
    return "get";
  case platform_verb::List:
    return "list";
  case platform_verb::Create:
    return "create";
  case platform_verb::Update:
    return "update";
  case platform_verb::Delete:
    return "delete";
  case platform_verb::Watch:
    return "watch";
  }
  return "unknown";
}

namespace {

/// Returns a text field of the metadata, or an empty string.
std::string metadataOf(const json &Object, const char *Field) {
  auto Metadata = Object.is_object() ? Object.find("metadata") : Object.end();
  if (!Object.is_object() || Metadata == Object.end() || !Metadata->is_object())
    return {};
  auto Found = Metadata->find(Field);
  if (Found == Metadata->end())
    return {};
  if (Found->is_number_unsigned())
    return std::to_string(Found->get<std::uint64_t>());
  return Found->is_string() ? Found->get<std::string>() : std::string();
}

} // namespace

std::uint64_t versionOf(const json &Object) {
  std::string Text = metadataOf(Object, "resourceVersion");
  std::uint64_t Version = 0;
  auto [End, Status] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Version);
  bool Whole = Status == std::errc() && End == Text.data() + Text.size();
  return Whole ? Version : 0;
}

std::string nameOfObject(const json &Object) {
  return metadataOf(Object, "name");
}

std::string encodeBase64(std::string_view Bytes) {
  gchar *Text = g_base64_encode(reinterpret_cast<const guchar *>(Bytes.data()),
                                Bytes.size());
  std::string Result = Text;
  g_free(Text);
  return Result;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  constexpr std::string_view Alphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::size_t Digits = Text.find_last_not_of('=') + 1;
  bool Valid = Text.size() % 4 == 0 && Text.size() - Digits <= 2 &&
               Text.substr(0, Digits).find_first_not_of(Alphabet) ==
                   std::string_view::npos;
  if (!Valid)
    return fail(error_code::Corrupt, "not base64");
  gsize Length = 0;
  guchar *Bytes = g_base64_decode(std::string(Text).c_str(), &Length);
  std::string Result(reinterpret_cast<char *>(Bytes), Length);
  g_free(Bytes);
  return Result;
}

// -- Call budget --------------------------------------------------------------

namespace pvt {

void token_bucket::refill(time_point Now) {
  if (Filled) {
    double Seconds = static_cast<double>((Now - *Filled).count()) / 1000.0;
    Tokens = std::min(Burst, Tokens + Seconds * PerSecond);
  }
  Filled = Now;
}

void token_bucket::setRate(double Rate, time_point Now) {
  refill(Now);
  PerSecond = Rate;
  Burst = std::max(Rate, 1.0);
  Tokens = std::min(Tokens, Burst);
}

bool token_bucket::take(time_point Now) {
  refill(Now);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

milliseconds token_bucket::delay(time_point Now) {
  refill(Now);
  if (Tokens >= 1)
    return milliseconds(0);
  return milliseconds(
      static_cast<std::int64_t>(std::ceil((1 - Tokens) / PerSecond * 1000)));
}

bool isWrite(platform_verb Verb) {
  return Verb == platform_verb::Create || Verb == platform_verb::Update ||
         Verb == platform_verb::Delete;
}

platform_outcome judge(platform_verb Verb, const http_result &Result) {
  constexpr int Ok = 200;
  constexpr int MultipleChoices = 300;
  constexpr int BadRequest = 400;
  constexpr int NotFound = 404;
  constexpr int Conflict = 409;
  constexpr int TooManyRequests = 429;
  constexpr int ServerError = 500;
  auto NoAnswer =
      isWrite(Verb) ? platform_outcome::Unknown : platform_outcome::Unavailable;
  if (Result.Code != error_code::None)
    return Result.Sent ? NoAnswer : platform_outcome::Unavailable;
  if (Result.Status >= Ok && Result.Status < MultipleChoices)
    return platform_outcome::Ok;
  if (Result.Status == NotFound)
    return platform_outcome::NotFound;
  if (Result.Status == Conflict)
    return platform_outcome::Conflict;
  if (Result.Status == TooManyRequests)
    return platform_outcome::Unavailable;
  if (Result.Status >= BadRequest && Result.Status < ServerError)
    return platform_outcome::Invalid;
  return NoAnswer;
}

std::string reasonOf(const raw_answer &Answer) {
  if (Answer.Result.Code != error_code::None)
    return Answer.Result.Text;
  std::string Text = "status " + std::to_string(Answer.Result.Status);
  json Body = parseLenient(Answer.Body);
  if (Body.is_object() && Body.contains("message") &&
      Body["message"].is_string())
    Text += ": " + Body["message"].get<std::string>();
  return Text;
}

} // namespace pvt

// -- Calls -------------------------------------------------------------------

platform_client::state::state(const platform_settings &Settings,
                              http_client &Http)
    : Settings(Settings), Http(&Http),
      Reads(Settings.ReadsPerSecond, Settings.ReadBurst),
      Writes(Settings.WritesPerSecond, Settings.WriteBurst),
      Random(Settings.Seed), Self(std::make_shared<state *>(this)) {}

request_target platform_client::state::urlOf(std::string_view Plural,
                                             std::string_view Name) const {
  request_target Url(Settings.BaseUrl);
  Url.segment("apis").segment("turmerichead.io").segment("v1");
  Url.segment("namespaces").segment(Settings.Namespace).segment(Plural);
  if (!Name.empty())
    Url.segment(Name);
  return Url;
}

http_request platform_client::state::newRequest(std::string Method,
                                                const request_target &Url,
                                                milliseconds Timeout) const {
  http_request Request;
  Request.Method = std::move(Method);
  Request.Url = Url.text();
  Request.Headers = {{"X-Turmerichead-Host", Settings.Host}};
  Request.Timeout = Timeout;
  return Request;
}

platform_counters::verb &
platform_client::state::countersOf(platform_verb Verb) {
  return Counters.Verbs.at(static_cast<std::size_t>(Verb));
}

void platform_client::state::count(platform_verb Verb,
                                   platform_outcome Outcome) {
  if (Outcome == platform_outcome::Unavailable ||
      Outcome == platform_outcome::Unknown)
    ++countersOf(Verb).Failed;
}

/// Sends a call as soon as the budget allows it.
void platform_client::state::call(
    platform_verb Verb, http_request Request,
    std::function<void(const raw_answer &Answer)> Done) {
  raw_call Call{Verb, std::move(Request), std::move(Done)};
  auto &Queue = isWrite(Verb) ? WaitingWrites : WaitingReads;
  auto &Bucket = isWrite(Verb) ? Writes : Reads;
  if (Queue.empty() && Bucket.take(steadyNow())) {
    dispatch(std::move(Call));
    return;
  }
  if (Queue.size() >= Settings.MaxWaiting) {
    ++countersOf(Verb).Failed;
    Deferred.add([Done = std::move(Call.Done)] {
      Done({{error_code::Refused, "too many calls wait for the budget"}, {}});
    });
    return;
  }
  ++countersOf(Verb).Delayed;
  Queue.push_back(std::move(Call));
  drainWaiting();
}

void platform_client::state::drainQueue(std::deque<raw_call> &Queue,
                                        token_bucket &Bucket) {
  while (!Queue.empty() && Bucket.take(steadyNow())) {
    raw_call Call = std::move(Queue.front());
    Queue.pop_front();
    dispatch(std::move(Call));
  }
}

void platform_client::state::drainWaiting() {
  drainQueue(WaitingReads, Reads);
  drainQueue(WaitingWrites, Writes);
  Wake.reset();
  if (WaitingReads.empty() && WaitingWrites.empty())
    return;
  time_point Now = steadyNow();
  milliseconds Delay = milliseconds::max();
  if (!WaitingReads.empty())
    Delay = std::min(Delay, Reads.delay(Now));
  if (!WaitingWrites.empty())
    Delay = std::min(Delay, Writes.delay(Now));
  Wake = loop_source::every(std::max(Delay, milliseconds(1)), [this] {
    drainWaiting();
    return false;
  });
}

void platform_client::state::dispatch(raw_call Call) {
  ++countersOf(Call.Verb).Calls;
  auto Shared = std::make_shared<raw_call>(std::move(Call));
  auto Answer = std::make_shared<raw_answer>();
  std::weak_ptr<state *> Weak = Self;
  Http->send(
      Shared->Request,
      {.OnHeaders = {},
       .OnChunk = [Answer](std::string_view Bytes) { Answer->Body += Bytes; },
       .OnEnd =
           [Shared, Answer, Weak](const http_result &Result) {
             auto Owner = Weak.lock();
             if (!Owner)
               return;
             Answer->Result = Result;
             // The server may have closed a reused connection. A read is
             // idempotent and can be retried.
             bool Retry = Result.Code == error_code::Unavailable &&
                          Result.Sent && !isWrite(Shared->Verb) &&
                          !Shared->Retried;
             if (Retry) {
               Shared->Retried = true;
               (*Owner)->dispatch(std::move(*Shared));
               return;
             }
             (*Owner)->count(Shared->Verb, judge(Shared->Verb, Result));
             Shared->Done(*Answer);
           }});
}

void platform_client::state::callForObject(platform_verb Verb,
                                           http_request Request,
                                           platform_callback Done) {
  call(Verb, std::move(Request),
       [Verb, Done = std::move(Done)](const raw_answer &Answer) {
         platform_reply Reply;
         Reply.Outcome = judge(Verb, Answer.Result);
         if (Reply.Outcome != platform_outcome::Ok) {
           Reply.Text = reasonOf(Answer);
           Done(Reply);
           return;
         }
         Reply.Object = parseLenient(Answer.Body);
         if (!Reply.Object.is_object() && Verb != platform_verb::Delete) {
           Reply.Outcome = isWrite(Verb) ? platform_outcome::Unknown
                                         : platform_outcome::Unavailable;
           Reply.Text = "the answer does not parse";
         }
         Done(Reply);
       });
}

// -- Lists -------------------------------------------------------------------

void platform_client::state::nextPage(const std::shared_ptr<list_job> &Job) {
  request_target Url = urlOf(Job->Plural);
  Url.parameter("limit", std::to_string(Settings.PageSize));
  if (!Job->Continue.empty())
    Url.parameter("continue", Job->Continue);
  call(platform_verb::List, newRequest("GET", Url, Settings.ListTimeout),
       [this, Job](const raw_answer &Answer) { takePage(Job, Answer); });
}

void platform_client::state::takePage(const std::shared_ptr<list_job> &Job,
                                      const raw_answer &Answer) {
  constexpr int Gone = 410;
  bool Expired =
      Answer.Result.Code == error_code::None && Answer.Result.Status == Gone;
  if (Expired && !Job->Restarted) {
    Job->Restarted = true;
    Job->Items.clear();
    Job->Continue.clear();
    Job->Continues.clear();
    nextPage(Job);
    return;
  }
  platform_list_reply Reply;
  Reply.Outcome = judge(platform_verb::List, Answer.Result);
  if (Reply.Outcome != platform_outcome::Ok) {
    Reply.Text = reasonOf(Answer);
    Job->Done(Reply);
    return;
  }
  json Page = parseLenient(Answer.Body);
  if (!Page.is_object() || !Page.contains("items") ||
      !Page["items"].is_array()) {
    Reply.Outcome = platform_outcome::Unavailable;
    Reply.Text = "the list does not parse";
    Job->Done(Reply);
    return;
  }
  for (json &Item : Page["items"])
    Job->Items.push_back(std::move(Item));
  Job->Continue = metadataOf(Page, "continue");
  if (!Job->Continue.empty() && !Job->Continues.insert(Job->Continue).second) {
    Reply.Outcome = platform_outcome::Unavailable;
    Reply.Text = "the list returns to an earlier page";
    Job->Done(Reply);
    return;
  }
  if (!Job->Continue.empty()) {
    nextPage(Job);
    return;
  }
  Reply.Items = std::move(Job->Items);
  Reply.Version = versionOf(Page);
  Job->Done(Reply);
}

// -- Interface ---------------------------------------------------------------

std::optional<platform_client>
platform_client::create(const platform_settings &Settings, http_client &Http) {
  if (Settings.BaseUrl.empty() || Settings.Namespace.empty())
    return fail(error_code::InvalidInput,
                "the platform needs a base URL and a namespace");
  if (Settings.ReadsPerSecond <= 0 || Settings.WritesPerSecond <= 0)
    return fail(error_code::InvalidInput, "a budget must be above zero");
  return platform_client(std::make_unique<state>(Settings, Http));
}

platform_client::platform_client(std::unique_ptr<state> State)
    : State(std::move(State)) {}
platform_client::platform_client(platform_client &&Other) noexcept = default;
platform_client &
platform_client::operator=(platform_client &&Other) noexcept = default;

void platform_client::get(std::string_view Plural, std::string_view Name,
                          platform_callback Done) {
  State->callForObject(platform_verb::Get,
                       State->newRequest("GET", State->urlOf(Plural, Name),
                                         State->Settings.Timeout),
                       std::move(Done));
}

void platform_client::list(std::string_view Plural,
                           platform_list_callback Done) {
  auto Job = std::make_shared<list_job>();
  Job->Plural = Plural;
  Job->Done = std::move(Done);
  State->nextPage(Job);
}

void platform_client::create(std::string_view Plural, const json &Object,
                             platform_callback Done) {
  http_request Request =
      State->newRequest("POST", State->urlOf(Plural), State->Settings.Timeout);
  Request.Body = Object.dump();
  State->callForObject(platform_verb::Create, std::move(Request),
                       std::move(Done));
}

void platform_client::update(std::string_view Plural, const json &Object,
                             platform_callback Done) {
  http_request Request =
      State->newRequest("PUT", State->urlOf(Plural, nameOfObject(Object)),
                        State->Settings.Timeout);
  Request.Body = Object.dump();
  State->callForObject(platform_verb::Update, std::move(Request),
                       std::move(Done));
}

void platform_client::remove(std::string_view Plural, std::string_view Name,
                             std::optional<std::uint64_t> Version,
                             platform_callback Done) {
  http_request Request = State->newRequest("DELETE", State->urlOf(Plural, Name),
                                           State->Settings.Timeout);
  if (Version)
    Request.Body =
        json{{"preconditions", {{"resourceVersion", std::to_string(*Version)}}}}
            .dump();
  State->callForObject(platform_verb::Delete, std::move(Request),
                       std::move(Done));
}

void platform_client::setBudget(double ReadsPerSecond, double WritesPerSecond) {
  time_point Now = steadyNow();
  State->Reads.setRate(ReadsPerSecond, Now);
  State->Writes.setRate(WritesPerSecond, Now);
  State->drainWaiting();
}

platform_counters platform_client::counters() const {
  platform_counters Counters = State->Counters;
  Counters.Waiting = State->WaitingReads.size() + State->WaitingWrites.size();
  State->Watches.forEach([&](platform_watch_id, const platform_watch_row &Row) {
    bool Open = Row.Phase == watch_phase::Following ||
                Row.Phase == watch_phase::Connecting;
    Counters.OpenWatches += Open ? 1 : 0;
  });
  return Counters;
}

} // namespace turmerichead
