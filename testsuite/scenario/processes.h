/// \file
/// The processes of a scenario: started on an IP number of the run's own,
/// signalled, and killed when the run ends in whatever way.
#pragma once

#include "turmerichead/handle.h"

#include <gio/gio.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmerichead::scenario {

/// What kind of program a process runs.
enum class process_kind { Platform, Runner, Tool, Link, Host };

/// One process, or the place of one that has ended.
struct process {
  std::string Name;
  process_kind Kind = process_kind::Host;
  std::uint16_t Port = 0;
  std::uint16_t SecondPort =
      0; ///< Peer port of a host, control port of a link.
  std::vector<std::string> Arguments;
  std::string DataCentre;
  handle<GSubprocess> Handle;
  bool Frozen = false;
};

class processes {
public:
  /// Programs are taken from \p BinFolder; files go below \p Scratch.
  processes(std::string BinFolder, std::string Scratch);
  processes(const processes &) = delete;
  processes &operator=(const processes &) = delete;
  ~processes();

  /// The process of that name, its ports given, not yet running. A name that
  /// was used before keeps its ports.
  process &place(const std::string &Name, process_kind Kind);

  /// Starts \p Process with its arguments; false with lastError() on failure.
  bool start(process &Process);

  process *find(const std::string &Name);
  std::map<std::string, process> &all() { return Rows; }
  const std::map<std::string, process> &all() const { return Rows; }

  void signal(process &Process, int Number);
  static bool running(const process &Process);

  /// The exit code, or 128 and the signal's number; empty while it runs.
  static std::optional<int> exitCode(const process &Process);

  /// Runs a program to its end; the output is what it wrote to both streams.
  std::optional<int> runToEnd(const std::vector<std::string> &CommandLine,
                              std::int64_t BoundMs, std::string &Output);

  const std::string &address() const { return Address; }
  const std::string &scratch() const { return Scratch; }
  const std::string &binFolder() const { return BinFolder; }
  std::string addressOf(const process &Process) const;
  std::string secondAddressOf(const process &Process) const;
  std::string logFile(const process &Process) const;

private:
  std::string BinFolder;
  std::string Scratch;
  std::string Address;
  std::uint16_t NextPort = 8001;
  std::map<std::string, process> Rows;
};

/// The kind named \p Text, as in scenario files.
std::optional<process_kind> kindNamed(const std::string &Text);

} // namespace turmerichead::scenario
