/// \file
/// Stand-in for the platform's object store, as a process.
///
/// `POST /control` takes {"mood": "fine"|"busy"|"silent"|"reset"|"lossy",
/// "forget_history": true, "put": {"kind", "name", "spec", "status"},
/// "remove": {"kind", "name"}, "page_rows": N, "odd_continuation": a name of
/// odd_continuation.h, "look": {"kind", "name"}}. The answer has the number of
/// calls so far, and the "object" that was looked up.

#include "object_store.h"

#include "turmerichead/error.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(address, "127.0.0.1:0", "\"ip:port\" to listen on");
DEFINE_string(control, "127.0.0.1:0", "\"ip:port\" for orders to the stand-in");
DEFINE_string(lapsing_kind, "servers",
              "Objects of this kind go once nobody writes them any more");
DEFINE_int64(lapse_ms, 1200, "Silence after which they go, in milliseconds");

namespace {

using namespace turmerichead;
using standin::object_store;

object_store::mood moodNamed(const std::string &Text) {
  if (Text == "busy")
    return object_store::mood::Busy;
  if (Text == "silent")
    return object_store::mood::Silent;
  if (Text == "reset")
    return object_store::mood::Reset;
  return Text == "lossy" ? object_store::mood::Lossy : object_store::mood::Fine;
}

/// Carries out an order and returns the object that it asks for, or null.
nlohmann::json obey(object_store &Store, const nlohmann::json &Order) {
  if (Order.contains("mood")) {
    Store.Mood = moodNamed(Order["mood"].get<std::string>());
    if (Store.Mood != object_store::mood::Fine)
      Store.cutWatches();
  }
  if (Order.value("forget_history", false))
    Store.forgetHistory();
  if (auto Put = Order.find("put"); Put != Order.end()) {
    std::string Kind = (*Put)["kind"].get<std::string>();
    std::string Name = (*Put)["name"].get<std::string>();
    Store.put(Kind, Name, (*Put)["spec"]);
    if (Put->contains("status"))
      Store.putStatus(Kind, Name, (*Put)["status"]);
  }
  if (auto Gone = Order.find("remove"); Gone != Order.end())
    Store.remove((*Gone)["kind"].get<std::string>(),
                 (*Gone)["name"].get<std::string>());
  if (auto Rows = Order.find("page_rows"); Rows != Order.end())
    Store.MaxPageRows = Rows->get<std::size_t>();
  if (auto Mode = Order.find("odd_continuation"); Mode != Order.end())
    Store.OddContinuation =
        standin::oddContinuationNamed(Mode->get<std::string>());
  auto Look = Order.find("look");
  if (Look == Order.end())
    return nullptr;
  return Store.objectAt((*Look)["kind"].get<std::string>(),
                        (*Look)["name"].get<std::string>());
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("stand-in for the platform's object store");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  object_store Store(FLAGS_address);
  std::uint64_t Calls = 0;
  Store.OnRequest = [&](const http1::request &) { ++Calls; };
  std::optional<http1::server> Control;
  Control = http1::server::create(
      FLAGS_control, {},
      {[&](http1::exchange_id Id, http1::request &&Request) {
         auto Order = nlohmann::json::parse(Request.Body, nullptr, false);
         nlohmann::json Reply = {{"calls", Calls}};
         if (Order.is_object())
           Reply["object"] = obey(Store, Order);
         Control->respond(Id, http1::status::Ok, {}, Reply.dump());
       },
       [](http1::exchange_id) {}});
  if (!Store.Server || !Control) {
    std::cerr << "standin_store: " << lastError().Text << "\n";
    return 1;
  }
  constexpr milliseconds Tick{50};
  auto Timer = loop_source::every(Tick, [&] {
    // An outage takes entries along at times; here it never does.
    if (Store.Mood == object_store::mood::Fine)
      Store.lapse(FLAGS_lapsing_kind, milliseconds(FLAGS_lapse_ms));
    return true;
  });
  g_main_loop_run(g_main_loop_new(nullptr, FALSE));
  return 0;
}
