/// \file
/// The client of the platform's object API: Kubernetes-style objects with
/// resource versions, conditional updates, paged lists and watches.
///
///     auto Platform = platform_client::create(Settings, Http);
///     Platform->get("shardmaps", "main", [](const platform_reply &Reply) {
///       if (Reply.Outcome == platform_outcome::Ok)
///         use(Reply.Object);
///     });
///     Platform->watch("entries", {.OnChange = ..., .OnSynced = ...});
///
/// All callbacks run on the GLib main loop, never inside the call that caused
/// them.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/id.h"
#include "turmerichead/net_http.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead {

struct platform_settings {
  std::string BaseUrl;        ///< "http://ip:port"
  std::string Namespace;      ///< For example "default".
  std::string Host;           ///< Sent as X-Turmerichead-Host on each call.
  milliseconds Timeout{2000}; ///< Of a get, create, update or delete.
  milliseconds ListTimeout{10000};  ///< Of one page of a list.
  milliseconds WatchTimeout{60000}; ///< After which a silent watch is renewed.
  int PageSize = 500;
  milliseconds RetryMin{100}; ///< Of a watch that was lost.
  milliseconds RetryMax{5000};

  double ReadsPerSecond = 200; ///< Gets, pages of a list, starts of a watch.
  double ReadBurst = 200;
  double WritesPerSecond = 60;
  double WriteBurst = 60;
  /// Calls that wait for the budget. Above: Unavailable at once.
  std::size_t MaxWaiting = 1000;

  std::uint64_t Seed = 1; ///< Of the jitter of retries.
};

/// What is known of a call's effect.
enum class platform_outcome {
  Ok,
  NotFound,    ///< 404
  Conflict,    ///< 409: exists already, or the resource version is old.
  Invalid,     ///< Another 4xx: the platform will never take it.
  Unavailable, ///< A read without an answer; a write that had no effect (not
               ///< sent, or 429).
  Unknown      ///< A write without an answer, or 5xx: it may have taken
               ///< effect.
};

/// The stable name of \p Outcome, for example "conflict".
std::string_view nameOf(platform_outcome Outcome);

struct platform_reply {
  platform_outcome Outcome = platform_outcome::Unavailable;
  nlohmann::json Object; ///< Of a get, create or update that was Ok.
  std::string Text;      ///< The reason, if not Ok.
};

struct platform_list_reply {
  platform_outcome Outcome = platform_outcome::Unavailable;
  std::vector<nlohmann::json> Items; ///< Of all pages, if Ok.
  std::uint64_t Version = 0;         ///< To begin a watch from.
  std::string Text;
};

using platform_callback = std::function<void(const platform_reply &Reply)>;
using platform_list_callback =
    std::function<void(const platform_list_reply &Reply)>;

enum class platform_change { Added, Modified, Deleted };

/// What a watch tells. The first list is told as Added, one object at a time.
/// An object is told again only with a higher version. After a gap the whole
/// list is read again, and objects that are gone are told as Deleted, with
/// the last content known.
struct platform_watch_events {
  std::function<void(platform_change Change, const nlohmann::json &Object)>
      OnChange;
  /// A whole list of version \p Version has been told, with Deleted for each
  /// object that was gone. Called before the OnSynced of that list, and never
  /// for a bookmark or a change.
  std::function<void(std::uint64_t Version)> OnListed;
  /// All that the platform had at version \p Version has been told. Called
  /// after each list, and on each bookmark or change.
  std::function<void(std::uint64_t Version)> OnSynced;
  /// The watch is not connected; it is tried again by itself. What was told
  /// may be old from now on until the next OnSynced.
  std::function<void(std::string_view Reason)> OnLost;
};

struct platform_watch_row;
using platform_watch_id = typed_id<platform_watch_row>;

enum class platform_verb { Get, List, Create, Update, Delete, Watch };
constexpr std::size_t PlatformVerbCount = 6;

/// The stable name of \p Verb, for example "create".
std::string_view nameOf(platform_verb Verb);

/// Counts since the start, for the metrics. A page of a list is one call; a
/// watch is one when it starts.
struct platform_counters {
  struct verb {
    std::uint64_t Calls = 0;   ///< Sent to the platform.
    std::uint64_t Failed = 0;  ///< Unavailable or Unknown.
    std::uint64_t Delayed = 0; ///< Had to wait for the budget.
  };
  std::array<verb, PlatformVerbCount> Verbs;
  std::size_t OpenWatches = 0; ///< Each counts as a call in progress.
  std::size_t Waiting = 0;     ///< Calls that wait for the budget now.

  const verb &of(platform_verb Verb) const {
    return Verbs.at(static_cast<std::size_t>(Verb));
  }
};

class platform_client {
public:
  /// \p Http must outlive the client. Fails with InvalidInput.
  static std::optional<platform_client>
  create(const platform_settings &Settings, http_client &Http);

  void get(std::string_view Plural, std::string_view Name,
           platform_callback Done);

  /// Reads all pages. If the list changed too much between pages (410), it
  /// is read again from its start, once.
  void list(std::string_view Plural, platform_list_callback Done);

  /// Creates an object; Conflict if the name is taken. \p Object needs
  /// metadata.name.
  void create(std::string_view Plural, const nlohmann::json &Object,
              platform_callback Done);

  /// Replaces an object if metadata.resourceVersion is its present version;
  /// Conflict otherwise.
  void update(std::string_view Plural, const nlohmann::json &Object,
              platform_callback Done);

  /// Deletes an object; if \p Version is given, only in that version.
  void remove(std::string_view Plural, std::string_view Name,
              std::optional<std::uint64_t> Version, platform_callback Done);

  /// Lists and follows a plural until stop() is called.
  platform_watch_id watch(std::string_view Plural,
                          platform_watch_events Events);

  /// Ends a watch. None of its events is called any more.
  void stop(platform_watch_id Id);

  /// Changes the budget of calls a second, for example when the number of
  /// hosts has changed.
  void setBudget(double ReadsPerSecond, double WritesPerSecond);

  platform_counters counters() const;

  platform_client(platform_client &&Other) noexcept;
  platform_client &operator=(platform_client &&Other) noexcept;
  ~platform_client();

  /// Private to the implementation.
  struct state;

private:
  explicit platform_client(std::unique_ptr<state> State);
  std::unique_ptr<state> State;
};

/// metadata.resourceVersion of \p Object as an integer; 0 if it has none.
std::uint64_t versionOf(const nlohmann::json &Object);

/// metadata.name of \p Object; empty if it has none.
std::string nameOfObject(const nlohmann::json &Object);

/// Base64, as in spec.data of segments and snapshots.
std::string encodeBase64(std::string_view Bytes);

/// Fails with Corrupt.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace turmerichead
