/// \file
/// Callers of a fleet: single requests, and programs whose turns follow each
/// other through any entry host.
#pragma once

#include "fleet.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace turmerichead::fleet_harness {

struct caller_request {
  std::string Method = "POST";
  std::string Host;
  std::string Path;
  std::string Body;
  std::string Program;
  std::string PreviousTurn;
  std::uint64_t Budget = 0; ///< Tokens; 0: none.
  std::uint64_t MostTokens = 0;
  milliseconds TimeLeft{3000};
  organisation_key Caller;
  std::string SourceIp;  ///< Address of the caller; empty: any.
  std::string CrashMark; ///< See standin::CrashHeader; empty: none.
};

struct caller_answer {
  std::string Attempt;
  int Status = 0; ///< 0: no head came.
  std::string Body;
  std::string Signature;
  bool Complete = false;
  bool GivenUp = false; ///< By the caller, before the connection ended.
  milliseconds Took{0};
};

/// The data of the events of a stream, one a line.
std::string dataOf(const std::string &Stream);

/// Whether \p Stream has the events 1 to \p Events of one upstream's answer
/// with the signature \p Mark, each once and in order.
bool isWhole(const std::string &Stream, const std::string &Mark, int Events);

/// Sends \p Request through \p Entry; \p Done is called once. An answer that
/// has not ended some time after the request's own is given up.
void send(fleet &Fleet, const std::string &Entry, const caller_request &Request,
          std::function<void(const caller_answer &)> Done);

/// Sees each request of programs and what became of it.
using caller_observer =
    std::function<void(const std::string &Entry, const caller_request &Request,
                       const caller_answer &Answer)>;

/// What programs have met.
struct sound_counts {
  std::uint64_t Turns = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Refused = 0;   ///< 503
  std::uint64_t Spent = 0;     ///< 402
  std::uint64_t Condemned = 0; ///< Refused for what it did to upstreams.
  std::uint64_t Broken = 0;
  std::uint64_t Wrong = 0; ///< Complete, but not its own answer.
};

/// Programs of the fleet's shape, with a few turns and calls, until stopped.
class sound_traffic {
public:
  /// \p Programs run at once, one after the other. With a \p Rate, that many
  /// times the programs of the shape begin in a second, \p Programs at once at
  /// most.
  sound_traffic(fleet &Fleet, int Programs, std::uint64_t Seed,
                caller_observer Observer = {}, double Rate = 0);
  void stop() { Stopping = true; }
  bool ended() const { return Live == 0; }
  const sound_counts &counts() const { return Counts; }

private:
  struct program {
    std::string Name;
    const program_shape *Shape = nullptr;
    int Turns = 0;     ///< Wanted.
    std::string Chain; ///< What the runner was given and has said.
    std::string Previous;
    std::uint64_t Budget = 0;
    int Turn = 0;
    int Failures = 0;
    bool Spent = false; ///< Told 402.
  };
  void begin(program &Program);
  void arrive(double Mean);
  void next(std::size_t Index);
  const route_shape *chooseCall(const program &Program);
  void turn(std::size_t Index, const std::string &Entry);
  void call(std::size_t Index, const std::string &Entry,
            const route_shape &Route);
  void judge(const std::string &Entry, const caller_request &Request,
             const caller_answer &Answer);
  void later(std::size_t Index);
  /// A host that runs; empty if none does.
  std::string anyEntry();

  fleet &Fleet;
  std::mt19937_64 Random;
  std::vector<program> Programs;
  std::vector<loop_source> Timers;
  std::vector<std::size_t> Idle; ///< Places of programs that may arrive.
  loop_source Arrivals;
  caller_observer Observer;
  sound_counts Counts;
  int Live = 0;
  std::uint64_t Serial = 0;
  bool Open = false; ///< Programs begin at a rate.
  bool Stopping = false;
};

} // namespace turmerichead::fleet_harness
