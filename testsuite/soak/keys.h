/// \file
/// Keys that are added and removed during a run, callers that use them, and
/// checks of the results of their requests.
#pragma once

#include "oracle.h"

#include <filesystem>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace turmerichead::soak {

/// Sends single requests with a key that is valid, was removed or never
/// existed, to hosts that run, also to frozen ones. Replaces a key once in a
/// while.
class key_callers {
public:
  key_callers(fleet_harness::fleet &Fleet, oracle &Oracle, std::uint64_t Seed);

  /// Stops adding and removing keys.
  void stopChanges() { Changes.reset(); }
  /// Checks that valid keys were answered since \p FromMs (time of day), and
  /// ends the requests.
  void judgeEnd(std::int64_t FromMs);
  /// Whether all requests have ended.
  bool ended() const { return Pending == 0; }
  /// Compares the answers with the runs that upstreams have logged. Searches
  /// all files of the hosts for keys.
  void judge(const std::vector<fleet_harness::run_line> &Runs);

private:
  /// Times of day in milliseconds; 0: not yet, or not known.
  struct key {
    std::string Organisation; ///< Empty: no configuration has ever had it.
    std::int64_t AddedAt = 0; ///< Acknowledged by the store.
    std::int64_t RemovalBegan = 0;
    std::int64_t RemovedAt = 0; ///< Acknowledged by the store.
  };
  struct attempt {
    std::string Key;
    std::int64_t SentAt = 0;
    std::int64_t AnsweredAt = 0;
    int Status = 0;
  };
  void change();
  void call();
  std::string choose();
  void judgeAnswer(const std::string &Id, const attempt &Attempt);
  void judgeRun(const attempt &Attempt, const fleet_harness::run_line &Line);
  void judgeFiles();
  void judgeFile(const std::filesystem::directory_entry &File);

  fleet_harness::fleet &Fleet;
  oracle &Oracle;
  std::int64_t RevocationMs;
  std::mt19937_64 Random;
  std::map<std::string, key> Keys;
  std::vector<std::string> Valid; ///< One of each organisation.
  std::vector<std::string> Removed;
  std::map<std::string, attempt> Attempts;
  std::uint64_t Serial = 0;
  int Pending = 0; ///< Requests.
  loop_source Changes;
  loop_source Calls;
};

} // namespace turmerichead::soak
