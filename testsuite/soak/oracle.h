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
  // Those of them that need the disk hosts.
  int Turns = 0;
  int TurnsAnswered = 0;
  int total() const { return Answered + Refused + Broken; }
};

class oracle {
public:
  static constexpr milliseconds SliceTime{250};

  /// \p Shape has the routes, and outlives the oracle.
  explicit oracle(const fleet_harness::site_shape &Shape) : Shape(Shape) {}

  /// An answer that a caller got, \p At after the start of traffic.
  /// \p EntryWasCalm: nothing disturbed its entry host from a while before the
  /// request on.
  void note(milliseconds At, const fleet_harness::caller_request &Request,
            const fleet_harness::caller_answer &Answer, bool EntryWasCalm);
  /// Notes an upstream that ended or was frozen: its runs don't count against
  /// attempts.
  void noteDisturbed(std::string Upstream) {
    Disturbed.insert(std::move(Upstream));
  }
  void noteLeaving(leaving_upstream Upstream) {
    Leaving.push_back(std::move(Upstream));
  }
  void fail(std::string Rule, std::string Text);

  /// Compares with what the upstreams have told.
  void judge(const std::vector<fleet_harness::run_line> &Runs);

  /// Judges how processes of hosts have ended.
  void judgeEnds(const std::vector<fleet_harness::process_end> &Ends);
  /// Judges what is served some time after a fault of all hosts, by what was
  /// served before it.
  void judgeRecovery(const slice &Before, const slice &After);
  /// What ended \p From on after the start of traffic.
  slice sumSince(milliseconds From) const;

  const std::vector<violation> &violations() const { return Violations; }
  const std::map<std::int64_t, slice> &slices() const { return Slices; }

private:
  struct attempt {
    std::string Path;
    std::string Organisation; ///< Of the caller.
    std::int64_t LeftMs = 0;  ///< Time left when it was sent.
    int Status = 0;
    bool EndedUnanswered = false; ///< By the end of the connection.
    bool EntryWasCalm = false;
  };
  using runs_by_attempt =
      std::map<std::string, std::vector<const fleet_harness::run_line *>>;
  void judgeTurn(const fleet_harness::caller_request &Request,
                 const fleet_harness::caller_answer &Answer);
  void judgeAttempts(const runs_by_attempt &RunsOf);
  void judgeRepeats(const runs_by_attempt &RunsOf);
  void judgeTimeLeft(const runs_by_attempt &RunsOf);
  void judgeUnanswered(const runs_by_attempt &RunsOf);
  void judgeCrashers(const std::vector<fleet_harness::run_line> &Runs);
  void judgeOrganisations(const runs_by_attempt &RunsOf);
  void judgeLeaving(const std::vector<fleet_harness::run_line> &Runs);

  const fleet_harness::site_shape &Shape;
  std::set<std::string> Disturbed; ///< Ids of upstreams.
  std::map<std::string, attempt> Attempts;
  std::set<std::string> WholeTurns;
  std::map<std::string, std::uint64_t> TokensOf; ///< By program.
  std::vector<leaving_upstream> Leaving;
  std::vector<violation> Violations;
  std::map<std::int64_t, slice> Slices; ///< By the slice's number.
};

} // namespace turmerichead::soak
