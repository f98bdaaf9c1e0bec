#include "processes.h"

#include "event_loop.h"

#include "turmerichead/error.h"

#include <sys/prctl.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>

namespace turmerichead::scenario {

namespace {

/// A loopback address of the run's own, so that runs side by side can use the
/// same ports.
std::string addressOfRun() {
  const auto Pid = static_cast<unsigned>(getpid());
  const unsigned Second = 1 + ((Pid >> 16U) & 0x7fU);
  return "127." + std::to_string(Second) + "." +
         std::to_string((Pid >> 8U) & 0xffU) + "." +
         std::to_string(Pid & 0xffU);
}

/// Processes must not outlive a runner that is itself killed.
void dieWithParent(gpointer /*Data*/) { prctl(PR_SET_PDEATHSIG, SIGKILL); }

const char *programOf(process_kind Kind) {
  switch (Kind) {
  case process_kind::Platform:
    return "standin_platform";
  case process_kind::Runner:
    return "standin_runner";
  case process_kind::Tool:
    return "standin_tool";
  case process_kind::Link:
    return "standin_link";
  case process_kind::Host:
    return "turmerichead";
  }
  return "";
}

handle<GSubprocess> spawn(const std::vector<std::string> &CommandLine,
                          const std::string &LogFile) {
  std::vector<const char *> Arguments;
  Arguments.reserve(CommandLine.size() + 1);
  for (const std::string &Argument : CommandLine)
    Arguments.push_back(Argument.c_str());
  Arguments.push_back(nullptr);
  auto Launcher = handle<GSubprocessLauncher>::adopt(
      g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE));
  g_subprocess_launcher_set_stdout_file_path(Launcher.get(), LogFile.c_str());
  g_subprocess_launcher_set_child_setup(Launcher.get(), dieWithParent, nullptr,
                                        nullptr);
  GError *Reason = nullptr;
  auto Child = handle<GSubprocess>::adopt(
      g_subprocess_launcher_spawnv(Launcher.get(), Arguments.data(), &Reason));
  if (!Child) {
    fail(error_code::Unavailable, Reason->message);
    g_error_free(Reason);
  }
  return Child;
}

void onExit(GObject *Source, GAsyncResult *Result, gpointer /*Data*/) {
  g_subprocess_wait_finish(G_SUBPROCESS(Source), Result, nullptr);
  g_object_set_data(Source, "exited", Source);
}

bool hasExited(GSubprocess *Child) {
  return g_object_get_data(G_OBJECT(Child), "exited") != nullptr;
}

int codeOf(GSubprocess *Child) {
  constexpr int SignalBase = 128;
  if (g_subprocess_get_if_exited(Child))
    return g_subprocess_get_exit_status(Child);
  return SignalBase + g_subprocess_get_term_sig(Child);
}

} // namespace

std::optional<process_kind> kindNamed(const std::string &Text) {
  static const std::map<std::string, process_kind> Kinds = {
      {"platform", process_kind::Platform}, {"runner", process_kind::Runner},
      {"tool", process_kind::Tool},         {"link", process_kind::Link},
      {"host", process_kind::Host},
  };
  const auto Found = Kinds.find(Text);
  if (Found == Kinds.end())
    return std::nullopt;
  return Found->second;
}

processes::processes(std::string BinFolder, std::string Scratch)
    : BinFolder(std::move(BinFolder)), Scratch(std::move(Scratch)),
      Address(addressOfRun()) {
  std::error_code Ignored;
  std::filesystem::remove_all(this->Scratch, Ignored);
  std::filesystem::create_directories(this->Scratch, Ignored);
}

processes::~processes() {
  for (auto &[Name, Process] : Rows)
    if (running(Process))
      g_subprocess_force_exit(Process.Handle.get());
}

process &processes::place(const std::string &Name, process_kind Kind) {
  constexpr std::uint16_t PortStep = 2;
  auto [Row, IsNew] = Rows.try_emplace(Name);
  if (IsNew) {
    Row->second.Name = Name;
    Row->second.Port = NextPort;
    Row->second.SecondPort = NextPort + 1;
    NextPort += PortStep;
  }
  Row->second.Kind = Kind;
  return Row->second;
}

bool processes::start(process &Process) {
  std::vector<std::string> CommandLine = {BinFolder + "/" +
                                          programOf(Process.Kind)};
  CommandLine.insert(CommandLine.end(), Process.Arguments.begin(),
                     Process.Arguments.end());
  const std::string Log = logFile(Process);
  std::error_code Ignored;
  std::filesystem::rename(Log, Log + ".before", Ignored);
  Process.Handle = spawn(CommandLine, Log);
  Process.Frozen = false;
  if (!Process.Handle)
    return false;
  g_subprocess_wait_async(Process.Handle.get(), nullptr, onExit, nullptr);
  return true;
}

process *processes::find(const std::string &Name) {
  const auto Found = Rows.find(Name);
  return Found == Rows.end() ? nullptr : &Found->second;
}

void processes::signal(process &Process, int Number) {
  if (running(Process))
    g_subprocess_send_signal(Process.Handle.get(), Number);
}

bool processes::running(const process &Process) {
  return Process.Handle && !hasExited(Process.Handle.get());
}

std::optional<int> processes::exitCode(const process &Process) {
  if (!Process.Handle || running(Process))
    return std::nullopt;
  return codeOf(Process.Handle.get());
}

std::optional<int>
processes::runToEnd(const std::vector<std::string> &CommandLine,
                    std::int64_t BoundMs, std::string &Output) {
  const std::string Log = Scratch + "/command.out";
  auto Child = spawn(CommandLine, Log);
  if (!Child)
    return std::nullopt;
  g_subprocess_wait_async(Child.get(), nullptr, onExit, nullptr);
  const bool Ended =
      waitUntil([&Child] { return hasExited(Child.get()); }, BoundMs);
  if (!Ended) {
    g_subprocess_force_exit(Child.get());
    return fail(error_code::Timeout, "the command does not end");
  }
  char *Text = nullptr;
  gsize Size = 0;
  if (g_file_get_contents(Log.c_str(), &Text, &Size, nullptr))
    Output.assign(Text, Size);
  g_free(Text);
  return codeOf(Child.get());
}

std::string processes::addressOf(const process &Process) const {
  return Address + ":" + std::to_string(Process.Port);
}

std::string processes::secondAddressOf(const process &Process) const {
  return Address + ":" + std::to_string(Process.SecondPort);
}

std::string processes::logFile(const process &Process) const {
  return Scratch + "/" + Process.Name + ".log";
}

} // namespace turmerichead::scenario
