#include "call_table.h"

#include "event_loop.h"

#include "turmerichead/hash.h"

#include <glib.h>

#include <sstream>

namespace turmerichead::scenario {

using nlohmann::json;

namespace {

constexpr unsigned AdvancePeriodMs = 3;
constexpr std::int64_t RetryPauseMs = 150;

/// The text of all stream events, and whether the stream has its end.
void readStream(const std::string &Body, call_result &Result) {
  std::istringstream Lines(Body);
  std::string Line;
  bool Finished = false;
  while (std::getline(Lines, Line)) {
    if (Line.compare(0, 6, "data: ") != 0)
      continue;
    const std::string Data = Line.substr(6);
    if (Data.compare(0, 6, "[DONE]") == 0) {
      Result.Complete = Finished;
      continue;
    }
    const json Event = json::parse(Data, nullptr, false);
    if (!Event.is_object())
      continue;
    if (Event.contains("error")) {
      Result.Code = Event["error"].value("code", std::string());
      Result.Outcome = Event["error"].value("outcome", std::string());
    }
    if (!Event.contains("choices") || Event["choices"].empty())
      continue;
    const json &Choice = Event["choices"][0];
    if (Choice.contains("delta"))
      Result.Content += Choice["delta"].value("content", std::string());
    if (Choice.contains("finish_reason") && Choice["finish_reason"].is_string())
      Finished = true;
  }
}

void readJson(const std::string &Body, call_result &Result) {
  const json Value = json::parse(Body, nullptr, false);
  if (!Value.is_object())
    return;
  Result.Complete = true;
  if (Value.contains("error") && Value["error"].is_object()) {
    Result.Code = Value["error"].value("code", std::string());
    Result.Outcome = Value["error"].value("outcome", std::string());
    return;
  }
  const json::json_pointer Content("/choices/0/message/content");
  if (Value.contains(Content) && Value[Content].is_string())
    Result.Content = Value[Content].get<std::string>();
}

bool mayRepeat(const call_result &Result) {
  return !Result.Complete || Result.Outcome == "not_run" ||
         Result.Status == 429 || Result.Status == 503;
}

/// A refused connection was never taken, as a balancer would notice. An answer
/// that ends early is cut off, also where the connection ends in good order,
/// unless an error says why.
bool wasCutOff(const http_response &Response, const call_result &Result) {
  if (Response.Broken)
    return Response.Failure.find("refused") == std::string::npos;
  return !Result.Complete && Result.Outcome.empty();
}

} // namespace

std::string replyMark(const std::string &Question) {
  return "reply-to:" + toHex(hash64(Question));
}

call_result readAnswer(const http_response &Response,
                       const std::string &ReplyMark) {
  call_result Result;
  Result.Status = Response.Status;
  Result.Body = Response.Body;
  Result.Failure = Response.Failure;
  if (Response.ContentType == "text/event-stream")
    readStream(Response.Body, Result);
  else
    readJson(Response.Body, Result);
  if (Response.Broken)
    Result.Complete = false;
  Result.OwnAnswer =
      ReplyMark.empty() || Result.Content.find(ReplyMark) != std::string::npos;
  return Result;
}

call_table::call_table(http_client &Client) : Client(Client) {
  Timer = g_timeout_add(AdvancePeriodMs, advanceAll, this);
}

call_table::~call_table() { g_source_remove(Timer); }

call_id call_table::begin(call_order Order) {
  const call_id Id = NextId++;
  row &Row = Rows[Id];
  Row.Order = std::move(Order);
  sendNext(Row);
  return Id;
}

bool call_table::done(call_id Id) const { return Rows.at(Id).Done; }

const call_result &call_table::result(call_id Id) const {
  return Rows.at(Id).Result;
}

std::size_t call_table::eventsSeen(call_id Id) const {
  const row &Row = Rows.at(Id);
  if (Row.Done || Row.ResumeAtMs != 0)
    return 0;
  const std::string &Body = Client.response(Row.Request).Body;
  std::size_t Count = 0;
  for (std::size_t At = Body.find("data: "); At != std::string::npos;
       At = Body.find("data: ", At + 1))
    ++Count;
  return Count;
}

void call_table::abandon(call_id Id) {
  row &Row = Rows.at(Id);
  if (Row.Done)
    return;
  if (Row.ResumeAtMs == 0)
    Client.cancel(Row.Request);
  Row.Done = true;
  Row.Result.Failure = "abandoned";
}

int call_table::advanceAll(void *Data) {
  auto &Table = *static_cast<call_table *>(Data);
  for (auto &[Id, Row] : Table.Rows)
    Table.advance(Row);
  return G_SOURCE_CONTINUE;
}

void call_table::advance(row &Row) {
  if (Row.Done)
    return;
  if (Row.ResumeAtMs != 0) {
    if (nowMs() >= Row.ResumeAtMs)
      sendNext(Row);
    return;
  }
  const http_response &Response = Client.response(Row.Request);
  if (!Response.Done)
    return;
  Row.Result = readAnswer(Response, Row.Order.ReplyMark);
  if (wasCutOff(Response, Row.Result))
    ++CutOff;
  Client.forget(Row.Request);
  if (Row.Order.Retry && mayRepeat(Row.Result)) {
    Row.ResumeAtMs = nowMs() + RetryPauseMs;
    return;
  }
  Row.Done = true;
}

void call_table::sendNext(row &Row) {
  const auto &Urls = Row.Order.BaseUrls;
  http_request Request = Row.Order.Request;
  Request.Url = Urls[Row.Tries % Urls.size()] + Request.Url;
  ++Row.Tries;
  Row.ResumeAtMs = 0;
  Row.Request = Client.send(Request);
}

} // namespace turmerichead::scenario
