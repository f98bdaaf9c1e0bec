/// \file
/// Runs one scenario over real processes and compares its transcript with the
/// case's reference. Exit codes: 0 as expected, 1 a step failed or the
/// transcript differs, 2 the scenario file does not check.

#include "interpreter.h"
#include "scenario_file.h"

#include <gflags/gflags.h>
#include <sys/resource.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

DEFINE_string(scenario, "", "Scenario file");
DEFINE_string(reference, "", "Transcript to compare with; empty: none");
DEFINE_bool(update, false, "Write the reference instead of comparing");
DEFINE_string(bin, "build/bin", "Folder of the programs");
DEFINE_string(scratch, "build/testsuite/scratch",
              "Folder for logs and settings; it is emptied first");
DEFINE_bool(verbose, false, "Print answers and what \"show\" steps fetch");
DEFINE_bool(check, false, "Check the scenario file and do no more");
DEFINE_int64(bound_ms, 30000,
             "Bound of each wait that names none, in milliseconds");

namespace {

using namespace turmerichead::scenario;

std::string joined(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines)
    Text += Line + "\n";
  return Text;
}

std::string contentOf(const std::string &File) {
  std::ifstream Stream(File);
  return {std::istreambuf_iterator<char>(Stream), {}};
}

/// Prints the first line that differs. Answers whether none does.
bool compare(const std::vector<std::string> &Lines, const std::string &File) {
  const std::string Wanted = contentOf(File);
  if (Wanted == joined(Lines))
    return true;
  std::istringstream Reference(Wanted);
  std::string Line;
  std::size_t Number = 0;
  while (std::getline(Reference, Line) && Number < Lines.size() &&
         Lines[Number] == Line)
    ++Number;
  std::cerr << File << ":" << Number + 1 << ": the transcript differs\n"
            << "  reference: " << Line << "\n  this run:  "
            << (Number < Lines.size() ? Lines[Number] : "(end)") << "\n";
  return false;
}

/// Two thousand idle connections need more than the usual soft limit.
void raiseFileLimit() {
  rlimit Limit{};
  getrlimit(RLIMIT_NOFILE, &Limit);
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("runs a scenario over real processes");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  raiseFileLimit();
  turmerichead::findings Findings;
  const auto Steps = load(FLAGS_scenario, Findings);
  if (!Steps) {
    std::cerr << Findings.toText();
    return 2;
  }
  if (FLAGS_check)
    return 0;
  interpreter Interpreter(
      {FLAGS_bin, FLAGS_scratch, FLAGS_verbose, FLAGS_bound_ms});
  const bool Good = Interpreter.run(*Steps);
  if (!FLAGS_verbose)
    std::cout << joined(Interpreter.transcript());
  if (!Good) {
    std::cerr << "FAILED " << Interpreter.failure() << "\n"
              << Interpreter.logTails();
    return 1;
  }
  if (FLAGS_reference.empty())
    return 0;
  if (FLAGS_update) {
    std::ofstream(FLAGS_reference) << joined(Interpreter.transcript());
    return 0;
  }
  return compare(Interpreter.transcript(), FLAGS_reference) ? 0 : 1;
}
