#include "upstream_engine.h"

#include "turmerichead/hash.h"

#include <algorithm>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>

namespace turmerichead::standin {

namespace {

constexpr int CrashStatus = 3;
constexpr int ServerError = 500;
constexpr milliseconds TickInterval{5};
constexpr std::size_t QueuedPerSlot = 2;

std::int64_t wallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string markOf(std::string_view Text) {
  return std::to_string(hash64(Text));
}

std::string crashOf(const http1::request &Request) {
  if (const std::string *Mark = Request.Headers.find(CrashHeader))
    return *Mark;
  for (std::string_view Mark : {CrashAtOnceMark, CrashMidwayMark})
    if (Request.Body.find(Mark) != std::string::npos ||
        Request.Target.find(Mark) != std::string::npos)
      return std::string(Mark);
  return {};
}

} // namespace

upstream_engine::upstream_engine(upstream_settings Settings)
    : Settings(std::move(Settings)), Born(wallMs()),
      Random(this->Settings.Seed) {}

bool upstream_engine::start() {
  Http = http1::client::create({});
  Server = http1::server::create(
      Settings.Address, {},
      {[this](http1::exchange_id Id, http1::request &&Request) {
         onRequest(Id, Request);
       },
       [this](http1::exchange_id Id) {
         std::erase(Endless, Id);
         std::erase_if(Runs, [&](const run &Run) {
           if (Run.Exchange == Id)
             note("left", Run);
           return Run.Exchange == Id;
         });
       }});
  if (!Server || !Http)
    return false;
  Timer = loop_source::every(TickInterval, [this] {
    tick();
    return true;
  });
  registerSelf();
  Beats = loop_source::every(Settings.Heartbeat, [this] {
    registerSelf();
    return true;
  });
  return true;
}

// -- The store ---------------------------------------------------------------

void upstream_engine::registerSelf() { writeEntry(!Registered); }

void upstream_engine::writeEntry(bool Creates) {
  nlohmann::json Spec = {{"service", Settings.Service},
                         {"address", Settings.Address},
                         {"zone", Settings.DataCentre},
                         {"version", "1"},
                         {"slots", Settings.Slots},
                         {"state", Bad.Draining ? "draining" : "ready"},
                         {"cold_remaining_ms", 0},
                         {"sequence", 1},
                         {"born", Born}};
  nlohmann::json Body = {{"specification", Spec}};
  if (Creates)
    Body["metadata"] = {{"name", Settings.Id}};
  http1::call_request Request;
  Request.Address = Settings.Store;
  Request.Method = Creates ? "POST" : "PUT";
  Request.Target =
      Creates ? "/objects/servers" : "/objects/servers/" + Settings.Id;
  Request.Body.push_back(Body.dump());
  Http->call(std::move(Request),
             {[this](const http1::response_head &Head) {
                bool Known = Head.Status == http1::status::Ok ||
                             Head.Status == http1::status::Conflict;
                if (Known)
                  Registered = true;
                if (Head.Status == http1::status::NotFound)
                  Registered = false;
              },
              [](std::string_view) {}, [](const http1::call_result &) {}});
}

// -- Requests ----------------------------------------------------------------

bool upstream_engine::happens(double Share) {
  return Share > 0 &&
         std::uniform_real_distribution<double>(0, 1)(Random) < Share;
}

void upstream_engine::note(std::string_view What, const run &Run) {
  std::string Line = nlohmann::json{{"at", wallMs()},
                                    {"upstream", Settings.Id},
                                    {"service", Settings.Service},
                                    {"what", What},
                                    {"attempt", Run.Attempt},
                                    {"events", Run.Sent},
                                    {"crash", Run.Crash},
                                    {"left_ms", Run.LeftMs},
                                    {"organisation", Run.Organisation},
                                    {"has_key", Run.HasKey},
                                    {"input", Run.Mark}}
                         .dump() +
                     "\n";
  int File = open(Settings.RunFile.c_str(), O_WRONLY | O_APPEND | O_CREAT,
                  S_IRUSR | S_IWUSR);
  if (File < 0)
    return;
  [[maybe_unused]] ssize_t Written = write(File, Line.data(), Line.size());
  close(File);
}

void upstream_engine::crash(const run &Run) {
  note("crash", Run);
  _exit(CrashStatus);
}

void upstream_engine::onRequest(http1::exchange_id Id,
                                const http1::request &Request) {
  if (Request.Target == "/control") {
    onControl(Id, Request.Body);
    return;
  }
  http1::header_list Echo;
  if (const std::string *Attempt = Request.Headers.find("Request-Attempt-Id"))
    Echo.add("Request-Attempt-Id", *Attempt);
  addNotices(Echo);
  if (Request.Target == "/health") {
    Echo.add("Instance-Id", Settings.Id);
    bool Well = !Bad.Sick && !Bad.Draining;
    Server->respond(Id, Well ? http1::status::Ok : http1::status::Unavailable,
                    Echo, {});
    return;
  }
  const std::string *Wanted = Request.Headers.find("Expected-Instance");
  bool Full = Runs.size() >= Settings.Slots * (1 + QueuedPerSlot);
  if ((Wanted && *Wanted != Settings.Id) || Full) {
    Echo.add("Not-Executed", "true");
    Server->respond(
        Id, Full ? http1::status::Unavailable : http1::status::Misdirected,
        Echo, {});
    return;
  }
  begin(Id, Request);
}

void upstream_engine::addNotices(http1::header_list &Headers) const {
  if (Bad.Limit >= 0)
    Headers.add("Server-Limit", std::to_string(Bad.Limit));
  if (Bad.Leaving)
    Headers.add("Server-Leaving", "1");
}

void upstream_engine::begin(http1::exchange_id Id,
                            const http1::request &Request) {
  run Run;
  Run.Exchange = Id;
  Run.Attempt = Request.Headers.get("Request-Attempt-Id");
  Run.Mark = markOf(Request.Body);
  Run.Crash = crashOf(Request);
  Run.Next = steadyNow() + Settings.EventGap;
  if (const std::string *Left = Request.Headers.find("Deadline-Remaining"))
    Run.LeftMs = std::strtoll(Left->c_str(), nullptr, 10);
  Run.Organisation = Request.Headers.get("Tenant");
  Run.HasKey = Request.Headers.find("Authorization") != nullptr;
  if (const std::string *Last = Request.Headers.find("Last-Event-Id"))
    Run.Sent = std::atoi(Last->c_str());
  note("run", Run);
  if (happens(Bad.Lost)) {
    note("lost", Run);
    Server->abort(Id);
    return;
  }
  if (happens(Bad.Hang))
    return;
  http1::header_list Headers = {{"Request-Attempt-Id", Run.Attempt},
                                {"Response-Signature", Run.Mark}};
  addNotices(Headers);
  if (happens(Bad.Errors)) {
    Server->respond(Id, ServerError, Headers, "an error of the upstream");
    return;
  }
  if (!Settings.Streams || Run.Crash.starts_with(CrashAtOnceMark)) {
    Runs.push_back(std::move(Run));
    return;
  }
  Headers.add("Content-Type", "text/event-stream");
  Server->begin(Id, http1::status::Ok, Headers);
  if (happens(Bad.Endless)) {
    Endless.push_back(Id);
    return;
  }
  Runs.push_back(std::move(Run));
}

void upstream_engine::onControl(http1::exchange_id Id,
                                const std::string &Body) {
  auto Order = nlohmann::json::parse(Body, nullptr, false);
  if (!Order.is_object()) {
    Server->respond(Id, http1::status::BadRequest, {}, "not an object");
    return;
  }
  Bad.Errors = Order.value("errors", Bad.Errors);
  Bad.Lost = Order.value("lost", Bad.Lost);
  Bad.Hang = Order.value("hang", Bad.Hang);
  Bad.Endless = Order.value("endless", Bad.Endless);
  Bad.SlowFactor = Order.value("slow_factor", Bad.SlowFactor);
  Bad.Draining = Order.value("draining", Bad.Draining);
  Bad.Sick = Order.value("sick", Bad.Sick);
  Bad.Limit = Order.value("limit", Bad.Limit);
  Bad.Leaving = Order.value("leaving", Bad.Leaving);
  registerSelf();
  Server->respond(Id, http1::status::Ok, {}, "{}");
}

// -- Work --------------------------------------------------------------------

void upstream_engine::tick() {
  constexpr std::size_t EndlessBytes = 4096;
  for (http1::exchange_id Id : std::vector<http1::exchange_id>(Endless))
    Server->write(Id, std::string(EndlessBytes, 'x'));
  std::size_t Running = 0;
  std::vector<http1::exchange_id> Ended;
  for (run &Run : Runs) {
    if (++Running > Settings.Slots)
      break;
    if (Run.Next <= steadyNow() && advance(Run))
      Ended.push_back(Run.Exchange);
  }
  std::erase_if(Runs, [&](const run &Run) {
    return std::find(Ended.begin(), Ended.end(), Run.Exchange) != Ended.end();
  });
}

std::size_t upstream_engine::answerBytesOf(const run &Run) const {
  return Run.Attempt.starts_with(Settings.LongAnswersTo) ? Settings.AnswerBytes
                                                         : 0;
}

// One step of a run. Returns true once it has ended.
bool upstream_engine::advance(run &Run) {
  Run.Next =
      steadyNow() +
      milliseconds(static_cast<std::int64_t>(
          static_cast<double>(Settings.EventGap.count()) * Bad.SlowFactor));
  if (Run.Crash.starts_with(CrashAtOnceMark))
    crash(Run);
  if (!Settings.Streams) {
    answerPlain(Run);
    return true;
  }
  if (Run.Crash.starts_with(CrashMidwayMark) && Run.Sent == Settings.Events / 2)
    crash(Run);
  ++Run.Sent;
  std::string Data = Run.Mark + "-" + std::to_string(Run.Sent);
  if (std::size_t Bytes = answerBytesOf(Run); Bytes > 0)
    Data.resize(std::max(Data.size(),
                         Bytes / static_cast<std::size_t>(Settings.Events)),
                '.');
  Server->write(Run.Exchange,
                "id: " + std::to_string(Run.Sent) + "\ndata: " + Data + "\n\n");
  if (Run.Sent < Settings.Events)
    return false;
  note("end", Run);
  Server->finish(Run.Exchange);
  return true;
}

void upstream_engine::answerPlain(run &Run) {
  http1::header_list Headers = {{"Request-Attempt-Id", Run.Attempt},
                                {"Response-Signature", Run.Mark}};
  addNotices(Headers);
  if (Run.Crash.starts_with(CrashMidwayMark)) {
    Server->begin(Run.Exchange, http1::status::Ok, Headers);
    Server->write(Run.Exchange, "half of an ans");
    crash(Run);
  }
  note("end", Run);
  std::string Text = Run.Mark;
  Text.resize(std::max(Text.size(), answerBytesOf(Run)), '.');
  Server->respond(Run.Exchange, http1::status::Ok, Headers, Text);
}

} // namespace turmerichead::standin
