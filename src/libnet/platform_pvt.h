/// \file
/// Implementation of platform_client.
#pragma once

#include "turmerichead/net_loop.h"
#include "turmerichead/net_platform.h"
#include "turmerichead/request_target.h"
#include "turmerichead/table.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace turmerichead {

namespace pvt {

/// A token bucket: a constant rate, with bursts up to a limit.
class token_bucket {
public:
  token_bucket(double PerSecond, double Burst)
      : PerSecond(PerSecond), Burst(Burst), Tokens(Burst) {}

  void setRate(double Rate, time_point Now);
  bool take(time_point Now);
  /// Returns the time until a token is available.
  milliseconds delay(time_point Now);

private:
  void refill(time_point Now);

  double PerSecond;
  double Burst;
  double Tokens;
  std::optional<time_point> Filled;
};

/// The raw response of the platform.
struct raw_answer {
  http_result Result;
  std::string Body;
};

struct raw_call {
  platform_verb Verb = platform_verb::Get;
  http_request Request;
  std::function<void(const raw_answer &Answer)> Done;
  bool Retried = false;
};

bool isWrite(platform_verb Verb);

/// Returns the outcome of a call for its response; see platform_outcome.
platform_outcome judge(platform_verb Verb, const http_result &Result);

/// Returns a readable description of a response that is not Ok.
std::string reasonOf(const raw_answer &Answer);

/// A list that is being read page by page.
struct list_job {
  std::string Plural;
  platform_list_callback Done;
  std::vector<nlohmann::json> Items;
  std::string Continue;
  std::set<std::string> Continues; ///< All values of Continue.
  bool Restarted = false;
};

enum class watch_phase { Listing, Connecting, Following, Pausing };

} // namespace pvt

struct platform_watch_row {
  std::string Plural;
  std::shared_ptr<const platform_watch_events> Events;
  pvt::watch_phase Phase = pvt::watch_phase::Listing;
  std::map<std::string, nlohmann::json, std::less<>> Known;
  std::uint64_t Version = 0; ///< 0 until the first list.
  http_call_id Call;
  std::string Line;
  time_point LastHeard;
  time_point OpenedAt;
  milliseconds Pause{0};
  loop_source Retry;
  loop_source Silence;
  bool Lost = false; ///< OnLost was called, and OnSynced not since then.
};

struct platform_client::state {
  platform_settings Settings;
  http_client *Http = nullptr;
  pvt::token_bucket Reads;
  pvt::token_bucket Writes;
  std::deque<pvt::raw_call> WaitingReads;
  std::deque<pvt::raw_call> WaitingWrites;
  loop_source Wake;
  deferred_actions Deferred;
  platform_counters Counters;
  table<platform_watch_row> Watches;
  std::mt19937_64 Random;
  std::shared_ptr<state *> Self;

  state(const platform_settings &Settings, http_client &Http);

  // Calls.
  request_target urlOf(std::string_view Plural,
                       std::string_view Name = {}) const;
  http_request newRequest(std::string Method, const request_target &Url,
                          milliseconds Timeout) const;
  void call(platform_verb Verb, http_request Request,
            std::function<void(const pvt::raw_answer &Answer)> Done);
  void dispatch(pvt::raw_call Call);
  void drainWaiting();
  void drainQueue(std::deque<pvt::raw_call> &Queue, pvt::token_bucket &Bucket);
  void count(platform_verb Verb, platform_outcome Outcome);
  platform_counters::verb &countersOf(platform_verb Verb);
  void callForObject(platform_verb Verb, http_request Request,
                     platform_callback Done);
  void nextPage(const std::shared_ptr<pvt::list_job> &Job);
  void takePage(const std::shared_ptr<pvt::list_job> &Job,
                const pvt::raw_answer &Answer);

  // Watches.
  void listForWatch(platform_watch_id Id);
  void takeList(platform_watch_id Id, const platform_list_reply &Reply);
  void tellGone(platform_watch_id Id, const std::vector<nlohmann::json> &Items);
  void connect(platform_watch_id Id);
  void openStream(platform_watch_id Id);
  void takeBytes(platform_watch_id Id, std::string_view Bytes);
  bool takeLine(platform_watch_id Id, std::string_view Line);
  bool takeEvent(platform_watch_id Id, const std::string &Type,
                 const nlohmann::json &Object);
  void tell(platform_watch_id Id, platform_change Change,
            const nlohmann::json &Object);
  void listed(platform_watch_id Id);
  void synced(platform_watch_id Id);
  void streamEnded(platform_watch_id Id, const http_result &Result);
  void pauseThenRetry(platform_watch_id Id, const std::string &Reason);
  void relist(platform_watch_id Id);
  bool checkSilence(platform_watch_id Id);
};

} // namespace turmerichead
