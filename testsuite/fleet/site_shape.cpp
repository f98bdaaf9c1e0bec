#include "site_shape.h"

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <functional>

namespace turmerichead::fleet_harness {

namespace {

using table = toml::table;

/// Reads the tables of one file.
class site_reader {
public:
  site_reader(std::string File, findings &Findings)
      : File(std::move(File)), Findings(Findings) {}

  std::optional<site_shape> read(const table &Root) {
    readDataCentres(Root);
    readHosts(Root);
    readServices(Root);
    readRoutes(Root);
    readPrograms(Root);
    readBounds(Root);
    Shape.Name = text(Root, "name");
    if (!Findings.empty())
      return std::nullopt;
    return Shape;
  }

private:
  void add(const table &At, std::string Key, std::string Text) {
    auto Line = static_cast<int>(At.source().begin.line);
    Findings.add({File, Line, 0, std::move(Key)}, std::move(Text));
  }

  std::string text(const table &Table, const char *Key) {
    std::string Text = Table[Key].value_or(std::string());
    if (Text.empty())
      add(Table, Key, "is missing");
    return Text;
  }

  double number(const table &Table, const char *Key) {
    auto Value = Table[Key].value<double>();
    if (!Value || *Value < 0)
      add(Table, Key, "is missing or below 0");
    return Value.value_or(0);
  }

  void forEachRow(const table &Table, const char *Key,
                  const std::function<void(const table &)> &Action) {
    const toml::array *Rows = Table[Key].as_array();
    if (!Rows)
      return add(Table, Key, "is not a list of tables");
    for (const toml::node &Row : *Rows)
      if (const table *Fields = Row.as_table())
        Action(*Fields);
  }

  const table &part(const table &Table, const char *Key) {
    static const table Empty;
    if (const table *Part = Table[Key].as_table())
      return *Part;
    add(Table, Key, "is not a table");
    return Empty;
  }

  static milliseconds time(double Ms) {
    return milliseconds(std::max<std::int64_t>(1, std::llround(Ms)));
  }

  /// The mean of a distribution.
  double mean(const table &Table, const char *Key) {
    return number(part(Table, Key), "mean");
  }

  void readDataCentres(const table &Root) {
    forEachRow(Root, "zones", [&](const table &Row) {
      Shape.DataCentres.push_back(text(Row, "name"));
    });
    if (Shape.DataCentres.empty())
      add(Root, "zones", "is empty");
  }

  void readHosts(const table &Root) {
    forEachRow(Root, "machines", [&](const table &Row) {
      host_group Group;
      Group.DataCentre = text(Row, "zone");
      Group.Count = static_cast<int>(number(Row, "count"));
      Group.Limits.CpuShare = number(Row, "cpu_share");
      Group.Limits.MemoryMb =
          static_cast<std::uint64_t>(number(Row, "memory_mb"));
      Group.Limits.FileDescriptors =
          static_cast<std::uint64_t>(number(Row, "fds"));
      if (text(Row, "class") == "front") {
        Shape.Entries.push_back(std::move(Group));
        return;
      }
      Group.Limits.DiskMb =
          static_cast<std::uint64_t>(number(part(Row, "disk"), "mb"));
      Shape.Disks.push_back(std::move(Group));
    });
    if (Shape.Entries.empty() || Shape.Disks.empty())
      add(Root, "machines", "lacks entry hosts or disk hosts");
  }

  void readServices(const table &Root) {
    forEachRow(Root, "services", [&](const table &Row) {
      service_shape Service;
      Service.Name = text(Row, "name");
      Service.Streams = Row["model"].value_or(std::string()) == "llm";
      Service.Slots = static_cast<std::uint32_t>(number(Row, "slots"));
      Service.Connections = static_cast<int>(number(Row, "conn_cap"));
      if (Service.Streams)
        StepMs = number(part(Row, "llm"), "step_ms");
      forEachRow(Row, "servers", [&](const table &Servers) {
        Service.Upstreams.push_back(
            {text(Servers, "zone"),
             static_cast<int>(number(Servers, "count"))});
      });
      Shape.Services.push_back(std::move(Service));
    });
  }

  void readRoutes(const table &Root) {
    forEachRow(Root, "classes", [&](const table &Row) {
      route_shape Route;
      Route.Name = text(Row, "name");
      Route.Service = text(Row, "service");
      Route.Kind = kindOf(Row["kind"].value_or(std::string()));
      place(Route);
      Route.Timeout = time(number(Row, "timeout_ms"));
      Route.Target = time(number(Row, "aim_ms"));
      Route.TimeLeft = time(number(Row, "deadline_ms"));
      constexpr int UsualAttempts = 2;
      Route.Attempts = Row["attempts"].value_or(UsualAttempts);
      Route.Priority = static_cast<int>(number(Row, "priority"));
      Route.BodyBytes = static_cast<std::size_t>(mean(Row, "req_bytes"));
      auto Service =
          std::find_if(Shape.Services.begin(), Shape.Services.end(),
                       [&](const auto &S) { return S.Name == Route.Service; });
      if (Service == Shape.Services.end())
        return add(Row, "service", "is not known");
      if (Route.Kind == route_kind::Stream) {
        Route.RetentionS = static_cast<std::int64_t>(number(Row, "keep_s"));
        readStream(part(Row, "stream"), Route, *Service);
      } else {
        Service->AnswerBytes =
            static_cast<std::size_t>(mean(Row, "resp_bytes"));
        Service->EventGap =
            std::max(Service->EventGap, time(mean(Row, "work_ms")));
      }
      Shape.Routes.push_back(std::move(Route));
    });
  }

  static route_kind kindOf(std::string_view Kind) {
    if (Kind == "stream")
      return route_kind::Stream;
    return Kind == "unsafe" ? route_kind::Unsafe : route_kind::Safe;
  }

  /// Gives a route a path of its own, whose beginning tells its kind.
  static void place(route_shape &Route) {
    Route.Host = Route.Kind == route_kind::Stream ? site_shape::PlanHost
                                                  : site_shape::ToolHost;
    const char *Begin = Route.Kind == route_kind::Stream ? "/turn/"
                        : Route.Kind == route_kind::Safe ? "/look/"
                                                         : "/book/";
    Route.PathPrefix = Begin + Route.Name + "/";
    Route.Path = Route.PathPrefix;
  }

  void readStream(const table &Stream, route_shape &Route,
                  service_shape &Service) {
    Route.Resumable = Stream["resume"].value_or(false);
    double PieceBytes = mean(Stream, "piece_bytes");
    Service.Events = static_cast<int>(std::lround(mean(Stream, "pieces")));
    Service.AnswerBytes = static_cast<std::size_t>(Service.Events * PieceBytes);
    double TokenBytes = number(Stream, "token_bytes");
    Service.EventGap = time(StepMs * PieceBytes / std::max(TokenBytes, 1.0));
  }

  void readPrograms(const table &Root) {
    std::size_t Index = 0;
    forEachRow(Root, "classes", [&](const table &Row) {
      std::size_t Route = Index++;
      if (Row["agent"].is_table() && Route < Shape.Routes.size())
        readProgram(Row, part(Row, "agent"), Route);
    });
    forEachRow(Root, "traffic", [&](const table &Row) { addRates(Row); });
    if (Shape.programsPerSecond() <= 0)
      add(Root, "traffic", "begins no programs");
  }

  void readProgram(const table &Class, const table &Agent, std::size_t Route) {
    program_shape Program;
    Program.Route = Route;
    Program.MeanTurns = mean(Agent, "turns");
    Program.MaxTurns = static_cast<int>(number(part(Agent, "turns"), "max"));
    Program.Pause = time(mean(Agent, "think_ms"));
    Program.LaterBodyBytes =
        static_cast<std::size_t>(mean(part(Class, "stream"), "prompt_tokens"));
    forEachRow(Agent, "tools", [&](const table &Tool) {
      std::string Name = text(Tool, "class");
      auto Found =
          std::find_if(Shape.Routes.begin(), Shape.Routes.end(),
                       [&](const auto &Row) { return Row.Name == Name; });
      if (Found == Shape.Routes.end())
        return add(Tool, "class", "is not known");
      Program.Tools.push_back(
          {static_cast<std::size_t>(Found - Shape.Routes.begin()),
           number(Tool, "share") * Tool["times"].value_or(1.0)});
    });
    Shape.Programs.push_back(std::move(Program));
  }

  /// Shares the programs of one data centre's callers out by the mix.
  void addRates(const table &Traffic) {
    const table &Mix = part(Traffic, "mix");
    double Sum = 0;
    for (const auto &[Key, Weight] : Mix)
      Sum += Weight.value_or(0.0);
    for (program_shape &Program : Shape.Programs) {
      double Weight = Mix[Shape.Routes[Program.Route].Name].value_or(0.0);
      if (Sum > 0)
        Program.PerSecond += number(Traffic, "per_s") * Weight / Sum;
    }
  }

  void readBounds(const table &Root) {
    const table &Bounds = part(Root, "bounds");
    const table &Timing = part(Root, "timing");
    auto Whole = [&](const char *Key) {
      return static_cast<std::int64_t>(number(Bounds, Key));
    };
    site_bounds Read;
    Read.CatchUpS = number(Timing, "catch_up_s");
    Read.PassMs = static_cast<std::int64_t>(number(Timing, "pass_ms"));
    Read.FinishS = number(Timing, "finish_s");
    Read.ContactMs = Whole("touch_ms");
    Read.AckTimeoutMs = Whole("ack_ms");
    Read.DrainMs = Whole("drain_ms");
    Read.ConfigApplyMs = Whole("config_ms");
    Read.OuterMs = Whole("outer_ms");
    Read.GraceS = number(Bounds, "grace_s");
    Read.RecoveryS = number(Bounds, "recover_s");
    Read.HeartbeatMs =
        static_cast<std::int64_t>(number(part(Root, "discovery"), "beat_ms"));
    Shape.Bounds = Read;
    Shape.DiskFaults =
        static_cast<int>(number(part(Root, "tolerate"), "machines"));
  }

  std::string File;
  findings &Findings;
  site_shape Shape;
  double StepMs = 1; ///< Of a token.
};

} // namespace

std::optional<site_shape> site_shape::load(const std::string &Path,
                                           findings &Findings) {
  toml::parse_result Parsed = toml::parse_file(Path);
  if (!Parsed) {
    auto Line = static_cast<int>(Parsed.error().source().begin.line);
    Findings.add({Path, Line, 0, ""},
                 std::string(Parsed.error().description()));
    return std::nullopt;
  }
  return site_reader(Path, Findings).read(Parsed.table());
}

const service_shape *site_shape::findService(std::string_view Wanted) const {
  auto Row = std::find_if(Services.begin(), Services.end(),
                          [&](const auto &S) { return S.Name == Wanted; });
  return Row == Services.end() ? nullptr : &*Row;
}

const route_shape *site_shape::findRoute(std::string_view Path) const {
  const route_shape *Best = nullptr;
  for (const route_shape &Row : Routes)
    if (Path.starts_with(Row.PathPrefix) &&
        (!Best || Row.PathPrefix.size() > Best->PathPrefix.size()))
      Best = &Row;
  return Best;
}

const route_shape *site_shape::findRoute(route_kind Kind) const {
  auto Row = std::find_if(Routes.begin(), Routes.end(),
                          [&](const auto &R) { return R.Kind == Kind; });
  return Row == Routes.end() ? nullptr : &*Row;
}

double site_shape::programsPerSecond() const {
  double Sum = 0;
  for (const program_shape &Row : Programs)
    Sum += Row.PerSecond;
  return Sum;
}

} // namespace turmerichead::fleet_harness
