/// \file
/// Load: several programs at once, each making its calls one after another
/// and repeating what was not run.
#pragma once

#include "call_builder.h"
#include "call_table.h"

#include <map>
#include <string>
#include <vector>

namespace turmerichead::scenario {

/// One load. Programs are named Prefix-1, Prefix-2 and so on.
struct load_spec {
  std::string Prefix;
  std::int64_t Programs = 1;
  std::int64_t Turns = 1;
  std::int64_t ThinkMs = 0; ///< Between an answer and the next call.
  call_spec Call;           ///< What all calls have in common.
  std::vector<std::string> BaseUrls;
};

/// What a load has come to so far.
struct load_result {
  std::int64_t Finished = 0; ///< Programs with all their turns answered.
  std::int64_t Ended = 0;    ///< Programs that make no more calls.
  std::int64_t WrongAnswers = 0;
  std::int64_t Failed = 0; ///< Calls whose final answer was an error.
  std::string FirstFailure;
};

class load_table {
public:
  load_table(call_table &Calls, call_builder &Builder);
  load_table(const load_table &) = delete;
  load_table &operator=(const load_table &) = delete;
  ~load_table();

  void begin(const std::string &Name, load_spec Spec);

  /// Programs begin no further turn.
  void stop(const std::string &Name);
  bool exists(const std::string &Name) const { return Rows.count(Name) != 0; }
  bool done(const std::string &Name) const;
  const load_result &result(const std::string &Name) const;

private:
  struct program {
    call_spec Spec;
    call_id Call = 0;
    std::int64_t ResumeAtMs = 0; ///< 0 while a call is under way.
    bool Ended = false;
  };
  struct row {
    load_spec Spec;
    std::vector<program> Programs;
    bool Stopping = false;
    load_result Result;
  };

  static int advanceAll(void *Data);
  void advance(row &Row, program &Program);
  void finishTurn(row &Row, program &Program);
  void beginTurn(const row &Row, program &Program);

  call_table &Calls;
  call_builder &Builder;
  unsigned Timer = 0;
  std::map<std::string, row> Rows;
};

} // namespace turmerichead::scenario
