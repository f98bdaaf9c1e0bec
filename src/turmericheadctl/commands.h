/// \file
/// The commands of turmericheadctl. Each takes the arguments after its name and
/// returns the exit code.
#pragma once

#include <cstdint>
#include <span>
#include <string>

namespace turmerichead::ctl {

/// Exit codes, the same for all commands.
enum exit_code : int {
  Good = 0,
  Failed = 1,   ///< The platform or the host could not be reached or refused.
  BadInput = 2, ///< Wrong usage, or findings in a file.
  Lost = 3,     ///< Another operator's change was first.
  Unknown = 4   ///< The write may or may not have taken effect.
};

/// The request that the command where asks about, but for options::Host.
struct where_options {
  std::string At; ///< "ip:port" of the metrics of an entry host.
  std::string Path;
  std::string Organisation;
  std::string Program;
  std::string PreviousTurn;
  std::string Method;
};

/// What the flags say, for all commands.
struct options {
  std::string Platform;     ///< "http://ip:port"
  std::string Namespace;    ///< Of the platform's objects.
  std::string Host;         ///< "ip:port" of any host; where: a Host header.
  std::string KeyFile;      ///< Shared key, for drain from another machine.
  std::string Who;          ///< Name written to the audit trail.
  std::uint64_t Expect = 0; ///< Version that the operator changed; 0: newest.
  std::int32_t Lines = 20;
  bool Json = false;
  bool Markdown = false;
  where_options Where;
};

using arguments = std::span<const std::string>;

/// check FILE...: all findings of settings and entry files.
int check(const options &Options, arguments Files);

/// settings, fields: the tables of settings and of entry fields.
int settings(const options &Options, arguments Rest);
int fields(const options &Options, arguments Rest);

/// get [ENTRY]: all entries, or one with its content.
int get(const options &Options, arguments Names);

/// apply FILE: writes each entry of the file by a conditional update.
int apply(const options &Options, arguments Files);

/// status, report, drain [ADDRESS]: asks a host.
int status(const options &Options, arguments Rest);
int report(const options &Options, arguments Rest);
int drain(const options &Options, arguments Rest);

/// audit FILE: the latest records of an audit trail, for people.
int audit(const options &Options, arguments Files);

/// explain ID [LOG...]: what the logs of hosts tell of a call or a program, in
/// order of time; without a file, of standard input.
int explain(const options &Options, arguments Rest);

/// losses [LOG...]: how calls ended, by route and by reason, and where their
/// time went; without a file, of standard input.
int losses(const options &Options, arguments Rest);

/// where: where an entry host would send a request now, and why.
int where(const options &Options, arguments Rest);

} // namespace turmerichead::ctl
