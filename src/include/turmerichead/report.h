/// \file
/// The report: are programs finishing, was any answer lost, what changed.
///
/// Each host counts what it sees in a report_recorder and sends its
/// host_report to the host that is asked. A report_board merges them. What is
/// not heard from, or is too old, is "not known", and the report says so in
/// its first line.
#pragma once

#include "turmerichead/catalogue.h"
#include "turmerichead/clock.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead {

/// Counters of one entry. All of them add up over hosts.
struct entry_counters {
  std::uint64_t ProgramsAccepted = 0;
  std::uint64_t ProgramsRefused = 0;
  std::uint64_t ProgramsFinished = 0;
  std::uint64_t FinishedInTime = 0;
  std::uint64_t OverLimit = 0; ///< Ended because a limit was reached.
  std::uint64_t CallsAnswered = 0;
  std::uint64_t CallsFailed = 0;
  std::uint64_t OutcomeUnknown = 0;
  std::uint64_t AnswersLost = 0;
  std::uint64_t AnswersDoubled = 0;
  std::uint64_t AnswersMisdirected = 0;
  std::uint64_t OutOfOrder = 0;
  std::map<std::string, std::uint64_t> RefusedBy; ///< Calls, by reason.

  void add(const entry_counters &Other);
  /// Whether a promise was broken.
  bool broken() const;

  friend bool operator==(const entry_counters &,
                         const entry_counters &) = default;
};

/// One entry's row of a report.
struct entry_report {
  std::string Entry;
  work_rank Rank = work_rank::Ordinary;
  std::uint64_t Running = 0; ///< Programs under way now.
  std::uint64_t Overdue = 0; ///< Of these, past their target now.
  entry_counters Recent;     ///< The last RecentWindow to twice that.
  entry_counters Total;      ///< Since the hosts' start.

  friend bool operator==(const entry_report &, const entry_report &) = default;
};

/// A catalogue change, as the report shows it.
struct change_report {
  std::string Entry;
  std::uint64_t Version = 0;
  std::string Who;
  std::string What;                ///< One line, without secrets.
  std::int64_t AppliedAtMs = 0;    ///< Wall clock.
  std::int64_t EverywhereAtMs = 0; ///< 0: not yet in force everywhere.

  friend bool operator==(const change_report &,
                         const change_report &) = default;
};

/// Something the fleet mended by itself.
struct repair_report {
  std::string What;      ///< For example "host b-1 replaced, 7 shards moved".
  std::int64_t AtMs = 0; ///< Wall clock.
  std::int64_t TookMs = 0;

  friend bool operator==(const repair_report &,
                         const repair_report &) = default;
};

/// What one host knows of itself. Ages travel in place of times, so that
/// clocks that differ cannot make old data look new.
struct host_report {
  std::string Host;
  std::string DataCentre;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0; ///< Rises with each report.
  std::int64_t AgeMs = 0;     ///< Since the host took it; 0 when sent.
  std::int64_t UptimeMs = 0;
  std::int64_t PlatformOutageMs = 0; ///< 0: the platform answers.
  std::vector<entry_report> Entries; ///< Sorted by entry.
  std::vector<change_report> Changes;
  std::vector<repair_report> Repairs;
  std::vector<std::string> InvalidEntries; ///< Newest version does not check.

  friend bool operator==(const host_report &, const host_report &) = default;
};

nlohmann::json toJson(const host_report &Report);
/// Fails with Corrupt where the value is not a report.
std::optional<host_report> hostReportFromJson(const nlohmann::json &Value);

/// Only the rows that differ from \p Before, for sending deltas. Fold them in
/// again with applyDelta().
host_report deltaOf(const host_report &Before, const host_report &After);
void applyDelta(host_report &Base, const host_report &Delta);

/// Counts on one host. Every call takes the entry by name; time is passed in.
class report_recorder {
public:
  report_recorder(std::string Host, std::string DataCentre,
                  std::uint64_t Incarnation, time_point Start);

  /// Counters of \p Entry to add to: the caller increments what happened.
  ///
  ///     Recorder.count("yard", work_rank::Urgent, Now,
  ///                    [](entry_counters &C) { ++C.CallsAnswered; });
  template <typename Change>
  void count(std::string_view Entry, work_rank Rank, time_point Now,
             Change &&Apply) {
    row &Row = rowOf(Entry, Rank, Now);
    Apply(Row.Total);
    Apply(Row.Current);
  }

  /// Programs under way and past their target, as of now.
  void setRunning(std::string_view Entry, work_rank Rank, time_point Now,
                  std::uint64_t Running, std::uint64_t Overdue);
  void setChanges(std::vector<change_report> Latest);
  void setInvalid(std::vector<std::string> Names);
  void setPlatformOutage(milliseconds Length);
  void repaired(std::string What, std::int64_t AtMs, milliseconds Took);

  /// The host's report now.
  host_report take(time_point Now);

  static constexpr milliseconds RecentWindow{10 * 60 * 1000};
  static constexpr std::size_t MaxRepairs = 16;

private:
  struct row {
    work_rank Rank = work_rank::Ordinary;
    std::uint64_t Running = 0;
    std::uint64_t Overdue = 0;
    entry_counters Total;
    entry_counters Current;
    entry_counters Previous;
  };
  row &rowOf(std::string_view Entry, work_rank Rank, time_point Now);
  void rotate(time_point Now);

  std::string Host;
  std::string DataCentre;
  std::uint64_t Incarnation;
  time_point Start;
  time_point WindowStart;
  std::uint64_t Sequence = 0;
  std::int64_t PlatformOutageMs = 0;
  std::map<std::string, row, std::less<>> Rows;
  std::vector<change_report> Changes;
  std::vector<std::string> Invalid;
  std::deque<repair_report> Repairs;
};

/// The first line of the report, worst first.
enum class fleet_verdict : std::uint8_t { Broken, NotKnown, Late, Ok };
/// "BROKEN", "NOT KNOWN", "LATE" or "OK".
std::string_view nameOf(fleet_verdict Verdict);

/// A host that should be in the report.
struct expected_host {
  std::string Host;
  std::string DataCentre;
};

/// What is known of one host.
struct host_line {
  std::string Host;
  std::string DataCentre;
  bool Known = false;
  std::int64_t AgeMs = -1; ///< -1: never heard from.

  friend bool operator==(const host_line &, const host_line &) = default;
};

/// The fleet's report, merged.
struct fleet_report {
  fleet_verdict Verdict = fleet_verdict::NotKnown;
  std::string Reason;
  std::int64_t TakenAtMs = 0; ///< Wall clock of the host that was asked.
  std::string TakenBy;
  std::int64_t OldestMs = 0; ///< Age of the oldest part that counts.
  std::int64_t PlatformOutageMs = 0;
  std::vector<host_line> Hosts;
  std::vector<entry_report> Entries;
  std::vector<change_report> Changes; ///< Newest first.
  std::vector<repair_report> Repairs; ///< Newest first.
  std::vector<std::string> InvalidEntries;
};

/// Collects reports of hosts on the host that is asked.
class report_board {
public:
  /// Keeps \p Report if it is newer than what is known of the host.
  void receive(host_report Report, time_point Now);

  /// Merges what is known of the expected hosts. A host whose report is older
  /// than \p MaxAge is not known; its counters of broken promises still count.
  /// \p InTimePercent of the finished programs must have met their target.
  /// Without expected hosts nothing is known.
  fleet_report build(std::span<const expected_host> Expected,
                     std::string_view TakenBy, time_point Now,
                     std::int64_t WallNowMs, milliseconds MaxAge,
                     std::int64_t InTimePercent) const;

private:
  struct row {
    host_report Report;
    time_point ReceivedAt;
    /// Counters of the host's earlier incarnations, so that a restart hides
    /// no broken promise.
    std::map<std::string, entry_report> Earlier;

    std::int64_t ageMs(time_point Now) const {
      return Report.AgeMs + (Now - ReceivedAt).count();
    }
  };
  class merge;
  std::map<std::string, row, std::less<>> Rows;
};

/// Plain text in lines of at most 40 columns.
std::string renderText(const fleet_report &Report);
/// JSON, with every figure.
nlohmann::json toJson(const fleet_report &Report);
/// A self-contained page without scripts, for a phone; dark and light.
std::string renderHtml(const fleet_report &Report);

} // namespace turmerichead
