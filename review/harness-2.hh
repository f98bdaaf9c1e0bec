/// \file
/// What the cases of the second review share: a small deployment over real
/// processes, clients that retry as the pages say, and the record of a case.
#pragma once

#include "callers.h"
#include "fleet.h"

#include "turmerichead/error.h"
#include "turmerichead/hash.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <unistd.h>

namespace review {

using namespace turmerichead;
using namespace turmerichead::fleet_harness;

enum exit_code { Held = 0, Broken = 1, CannotRun = 2 };

/// Whether the case runs with its disruption.
inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

/// The record of a case: what was sent, answered and run, with the time since
/// its start.
class record {
public:
  explicit record(const std::string &Path) : File(Path, std::ios::trunc) {}
  void line(const std::string &Text) {
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%8.3f ",
                  static_cast<double>((steadyNow() - Start).count()) / 1000);
    File << Time << Text << std::endl;
    std::cout << Time << Text << std::endl;
  }

private:
  time_point Start = steadyNow();
  std::ofstream File;
};

/// A temporary folder that goes with the case.
class scratch {
public:
  scratch()
      : Path((std::filesystem::temp_directory_path() /
              ("turmerichead-review-" + std::to_string(getpid())))
                 .string()) {}
  ~scratch() {
    std::error_code Ignored;
    if (!std::getenv("KEEP_SCRATCH"))
      std::filesystem::remove_all(Path, Ignored);
  }
  std::string Path;
};

/// The shape of a small deployment: the sheet of gleisfenster-prod with 3 of
/// its 8 front machines, its 3 storage machines, its bounds and limits.
inline site_shape smallShape(const fleet_settings &Settings) {
  site_shape Shape = usualShape(Settings);
  Shape.Name = "gleisfenster-prod";
  for (host_group &Group : Shape.Entries)
    Group.Limits = {0.25, 110, 4100, 0};
  for (host_group &Group : Shape.Disks)
    Group.Limits = {0.5, 130, 8200, 470};
  Shape.Routes[0].RetentionS = 60;
  Shape.Routes[0].TimeLeft = milliseconds(4000);
  Shape.Routes[0].Timeout = milliseconds(4000);
  site_bounds Bounds;
  Bounds.CatchUpS = 4.7;
  Bounds.ContactMs = 3000;
  Bounds.AckTimeoutMs = 4000;
  Bounds.DrainMs = 2000;
  Bounds.ConfigApplyMs = 2000;
  Bounds.OuterMs = 5000;
  Bounds.PassMs = 120;
  Bounds.GraceS = 8;
  Bounds.RecoveryS = 12;
  Bounds.FinishS = 10;
  Bounds.HeartbeatMs = 1200;
  Shape.Bounds = Bounds;
  return Shape;
}

/// \p Bin is the folder of the programs, the first argument of a case.
inline fleet_settings settingsFor(const std::string &Bin,
                                  const std::string &Scratch) {
  fleet_settings Settings;
  Settings.Bin = Bin;
  Settings.Scratch = Scratch;
  return Settings;
}

/// One client attempt.
struct attempt {
  std::string Id;
  std::string Entry;
  int Status = 0;
  std::string Body;
  double RetryAfterS = 0;
  bool Complete = false;
};

/// One request of a client, with its retries.
struct request {
  std::string Host;
  std::string Path;
  std::string Method = "POST";
  std::string Body;
  std::string Program;
  std::string Session;
  std::string PreviousTurn;
  std::uint64_t Budget = 0;
  std::uint64_t MostTokens = 0;
  milliseconds TimeLeft{4000};
  milliseconds ProgramTimeLeft{0};
  std::string IdPrefix = "r";
};

inline std::string newId(const std::string &Prefix) {
  static std::uint64_t Next = 0;
  return Prefix + "-" + std::to_string(++Next);
}

/// Sends one client attempt.
inline void sendOnce(fleet &Fleet, const std::string &Entry,
                     const request &Request, milliseconds TimeLeft,
                     std::function<void(const attempt &)> Done) {
  struct under_way {
    attempt Attempt;
    http1::call_id Call;
    loop_source GiveUp;
    bool Ended = false;
  };
  auto Row = std::make_shared<under_way>();
  Row->Attempt.Id = newId(Request.IdPrefix);
  Row->Attempt.Entry = Entry;
  http1::call_request Call;
  Call.Address = Fleet.callerAddress(Entry);
  Call.Method = Request.Method;
  Call.Target = Request.Path;
  Call.FreshConnection = true;
  Call.Headers = {{"Host", Request.Host},
                  {"Request-Attempt-Id", Row->Attempt.Id},
                  {"Deadline-Remaining", std::to_string(TimeLeft.count())}};
  if (!Request.Program.empty()) {
    Call.Headers.add("Program-Id", Request.Program);
    Call.Headers.add("Session-Id", Request.Session);
    Call.Headers.add("Program-Time-Left",
                     std::to_string(Request.ProgramTimeLeft.count()));
  }
  if (Request.MostTokens > 0) {
    Call.Headers.add("Token-Budget", std::to_string(Request.Budget));
    Call.Headers.add("Token-Usage", "10," + std::to_string(Request.MostTokens));
  }
  if (!Request.PreviousTurn.empty())
    Call.Headers.add("Previous-Turn", Request.PreviousTurn);
  if (Request.MostTokens > 0) {
    Call.Headers.add("Model", "m");
    char Part[32];
    std::snprintf(Part, sizeof(Part), "%08x:10",
                  static_cast<unsigned>(hash64(Request.Session)));
    Call.Headers.add("Prompt-Prefix", Part);
  }
  if (!Request.Body.empty())
    Call.Body.push_back(Request.Body);
  auto End = [Row, Done = std::move(Done)](bool Complete) {
    if (std::exchange(Row->Ended, true))
      return;
    Row->Attempt.Complete = Complete;
    Row->GiveUp.reset();
    Done(Row->Attempt);
  };
  Row->Call = Fleet.http().call(
      std::move(Call),
      {[Row](const http1::response_head &Head) {
         Row->Attempt.Status = Head.Status;
         Row->Attempt.RetryAfterS =
             std::atof(std::string(Head.Headers.get("Retry-After")).c_str());
       },
       [Row](std::string_view Bytes) { Row->Attempt.Body += Bytes; },
       [End](const http1::call_result &Result) {
         End(Result.Outcome == http1::call_outcome::Complete);
       }});
  Row->GiveUp =
      loop_source::every(TimeLeft + milliseconds(100), [Row, End, &Fleet] {
        Fleet.http().cancel(Row->Call);
        End(false);
        return false;
      });
}

/// The processes of the system that have ended so far.
inline int hostEnds(const fleet &Fleet) {
  int Count = 0;
  for (const process_end &End : Fleet.ends())
    Count += End.Role == role::Entry || End.Role == role::Disk ? 1 : 0;
  return Count;
}

} // namespace review
