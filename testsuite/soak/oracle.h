/// \file
/// Checks the promises from what callers and upstreams see alone.
#pragma once

#include "callers.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmerichead::soak {

/// A promise that was broken.
struct violation {
  std::string Rule;
  std::string Text;
};

/// What upstreams had to be spared, and when.
struct leaving_upstream {
  std::string Id;
  std::int64_t SaidAtMs = 0; ///< Time of day
  bool Judged = true;        ///< False if hosts could not hear of it in time.
};

/// How many requests of callers ended how, in one slice of time.
struct slice {
  int Answered = 0;
  int Refused = 0;
  int Broken = 0;
  int total() const { return Answered + Refused + Broken; }
};

class oracle {
public:
  static constexpr milliseconds SliceTime{250};

  /// An answer that a caller got, \p At after the start of traffic.
  void note(milliseconds At, const fleet_harness::caller_request &Request,
            const fleet_harness::caller_answer &Answer);
  void noteLeaving(leaving_upstream Upstream) {
    Leaving.push_back(std::move(Upstream));
  }
  void fail(std::string Rule, std::string Text);

  /// Compares with what the upstreams have told.
  void judge(const std::vector<fleet_harness::run_line> &Runs);

  const std::vector<violation> &violations() const { return Violations; }
  const std::map<std::int64_t, slice> &slices() const { return Slices; }

private:
  struct attempt {
    std::string Path;
    int Status = 0;
  };
  void judgeTurn(const fleet_harness::caller_request &Request,
                 const fleet_harness::caller_answer &Answer);
  void judgeAttempts(const std::map<std::string, int> &RunsOf);
  void judgeCrashers(const std::vector<fleet_harness::run_line> &Runs);
  void judgeLeaving(const std::vector<fleet_harness::run_line> &Runs);

  std::map<std::string, attempt> Attempts;
  std::set<std::string> WholeTurns;
  std::map<std::string, std::uint64_t> TokensOf; ///< By program.
  std::vector<leaving_upstream> Leaving;
  std::vector<violation> Violations;
  std::map<std::int64_t, slice> Slices; ///< By the slice's number.
};

} // namespace turmerichead::soak
