/// \file
/// Builds the requests of callers from steps. The same call is always built
/// with the same bytes, so that sending it again is a true repeat.
#pragma once

#include "call_table.h"
#include "scenario_file.h"

#include <map>
#include <string>
#include <vector>

namespace turmerichead::scenario {

/// Who makes a call, and what is asked.
struct call_spec {
  std::string Program;
  std::string Parent;
  std::int64_t Number = 1;
  std::string Entry;
  std::string Token;
  std::string Question; ///< Empty: one that names program and call.
  std::int64_t MaxTokens = 0;
  std::int64_t MinTokens = 0; ///< The length of the answer.
  bool Stream = false;
  std::string Service; ///< "service/path": a service call.
  nlohmann::json Body; ///< Of a service call.
  std::string Key;     ///< Empty: one that names program and call.
  bool NonIdempotent = false;
  std::int64_t DeadlineMs = 0;

  /// The path from the root program.
  std::string programId() const {
    return Parent.empty() ? Program : Parent + "/" + Program;
  }
};

class call_builder {
public:
  /// A request without host, with headers and body.
  call_order build(const call_spec &Spec);

  /// Notes an answer, which later calls of the program carry as history.
  void noteAnswer(const call_spec &Spec, const std::string &Content);

private:
  struct turn {
    std::string Question;
    std::string Answer;
  };

  const std::string &bodyOf(const call_spec &Spec);
  nlohmann::json messagesFor(const call_spec &Spec) const;

  std::map<std::string, std::map<std::int64_t, turn>> Conversations;
  std::map<std::string, std::string> Bodies;
};

/// The question of a call that has none of its own.
std::string questionOf(const call_spec &Spec);

/// The spec that a "call" step describes.
call_spec specOf(const step &Step);

} // namespace turmerichead::scenario
