/// \file
/// Stand-in for an upstream of the platform: a runner that streams events, or
/// a plain service. It registers itself in the store.
///
/// A request whose body or target has one of the marks below ends the process.
/// Each run leaves a line in a file, so that a test sees what upstreams did,
/// also those that have ended.
#pragma once

#include "turmerichead/http1_client.h"
#include "turmerichead/http1_server.h"
#include "turmerichead/net_loop.h"
#include "turmerichead/table.h"

#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace turmerichead::standin {

/// Names one of the marks below, for requests without a body. What follows the
/// mark tells such requests apart in reports.
inline constexpr std::string_view CrashHeader = "Crash-Mark";
/// Ends the process before the first byte of an answer.
inline constexpr std::string_view CrashAtOnceMark = "crash-at-once";
/// Ends the process in the middle of the answer.
inline constexpr std::string_view CrashMidwayMark = "crash-midway";

struct upstream_settings {
  std::string Id;
  std::string Address; ///< "ip:port"
  std::string Store;   ///< "ip:port"
  std::string Service;
  std::string DataCentre;
  std::string RunFile; ///< Lines are appended.
  bool Streams = true; ///< A runner; a plain service otherwise.
  std::uint32_t Slots = 8;
  int Events = 6;
  milliseconds EventGap{20};
  milliseconds Heartbeat{400};
  std::uint64_t Seed = 1;
  std::size_t AnswerBytes = 0; ///< Answers are filled up to this size.
  /// Only answers to attempts that begin with this text are filled up.
  std::string LongAnswersTo;
};

class upstream_engine {
public:
  explicit upstream_engine(upstream_settings Settings);
  /// Fails with InvalidInput or Unavailable.
  bool start();

private:
  struct run {
    http1::exchange_id Exchange;
    std::string Attempt;
    std::string Mark; ///< What the answer must show: a hash of the input.
    std::string Crash;
    std::int64_t LeftMs = -1; ///< Time left by the request; -1: not told.
    std::string Organisation; ///< Named by the host; empty: none.
    bool HasKey = false;      ///< Whether the request still had a key.
    int Sent = 0;             ///< Events, with those before a resume.
    time_point Next;
  };
  /// Shares of requests, 0 to 1, that are treated badly.
  struct misbehaviour {
    double Errors = 0;  ///< 500, though it has run.
    double Lost = 0;    ///< Runs, and the connection ends.
    double Hang = 0;    ///< Runs, and nothing comes.
    double Endless = 0; ///< Bytes that are no events, until the caller closes.
    double SlowFactor = 1;
    bool Draining = false;
    bool Sick = false; ///< The health path says no.
    double Limit = -1; ///< Requests a second that answers name; below 0: none.
    bool Leaving = false; ///< Answers say so; the entry in the store does not.
  };

  void onRequest(http1::exchange_id Id, const http1::request &Request);
  void begin(http1::exchange_id Id, const http1::request &Request);
  void onControl(http1::exchange_id Id, const std::string &Body);
  void tick();
  bool advance(run &Run);
  void answerPlain(run &Run);
  std::size_t answerBytesOf(const run &Run) const;
  /// Adds what the upstream says of itself.
  void addNotices(http1::header_list &Headers) const;
  void note(std::string_view What, const run &Run);
  bool happens(double Share);
  void registerSelf();
  void writeEntry(bool Creates);
  [[noreturn]] void crash(const run &Run);

  upstream_settings Settings;
  std::int64_t Born = 0;
  std::optional<http1::server> Server;
  std::optional<http1::client> Http;
  std::vector<run> Runs;
  std::vector<http1::exchange_id> Endless;
  misbehaviour Bad;
  std::mt19937_64 Random;
  loop_source Timer;
  loop_source Beats;
  bool Registered = false;
};

} // namespace turmerichead::standin
