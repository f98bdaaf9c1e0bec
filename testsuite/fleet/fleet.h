/// \file
/// A deployment of the platform on this machine: the daemon in both roles,
/// a store and upstreams, each as a process of its own on a loopback address.
///
///     fleet Fleet({.Entries = 3, .Disks = 3});
///     REQUIRE(Fleet.start());
///     Fleet.kill("entry-0");
///
/// All processes end with the fleet.
#pragma once

#include "disk_image.h"
#include "process_limits.h"
#include "site_shape.h"
#include "tcp_link.h"
#include "turmerichead/handle.h"
#include "turmerichead/http1_client.h"
#include "turmerichead/net_loop.h"

#include <gio/gio.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace turmerichead::fleet_harness {

struct fleet_settings {
  std::string Scratch; ///< Emptied at the start.
  std::string Bin;     ///< Where the programs are.
  /// Folder below which the disks of hosts are, in one of this fleet's own that
  /// goes with it. If empty, they are in Scratch and stay.
  std::string DiskRoot;
  std::string OtherDaemon; ///< The daemon of another version; see useOther().
  /// Whether disks may lose power; see losePower().
  bool RecordsDisks = false;
  int Entries = 3;
  int Disks = 3;
  int DiskFaults = 1;
  int Runners = 6;
  int Tools = 3; ///< Plain services.
  int DataCentres = 3;
  int RunnerEvents = 6;
  int Attempts = 2; ///< Upstreams that an attempt of a caller may run on.
  /// Whether streams may be resumed; their turns are not stored then.
  bool Resumable = false;
  milliseconds EventGap{20};
  /// An upstream that ends by itself is started again after this time.
  milliseconds UpstreamBack{1500};
  std::uint64_t Seed = 1;
  std::size_t BodyBytes = 1U << 20U; ///< Limit for bodies of callers.
  milliseconds HeaderTimeout{5000};
  milliseconds IdleTimeout{30000};
  /// Takes the place of the numbers of hosts and upstreams, their answers and
  /// their routes.
  std::optional<site_shape> Site;
  /// Whether hosts are held to the limits of the site from outside.
  bool HoldsLimits = false;
  /// Limits of the processes in their settings; 0: not given.
  std::uint64_t MemoryMb = 0;
  std::uint64_t FileDescriptors = 0;
  std::size_t AnswerBytes = 0; ///< Of upstreams' answers; 0: short ones.
  std::string LongAnswersTo;   ///< Beginning of the attempts that get these.
  bool Links = false; ///< Relays before callers' ports and before the store.
  /// Organisations of the configuration, whose callers need keys; 0: none.
  int Organisations = 0;
  /// Time within which all hosts refuse a removed key; with organisations only.
  milliseconds RevocationTime{2000};
};

enum class role { Store, Entry, Disk, Runner, Tool };

/// How a process has ended.
struct process_end {
  std::string Name;
  role Role = role::Entry;
  int Start = 0;         ///< Number of the start, as in the name of its log.
  std::int64_t AtMs = 0; ///< Time of day
  milliseconds Age{0};   ///< Since it was started.
  std::optional<int> Status; ///< If it has exited.
  int Signal = 0;            ///< That ended it; 0: none.
  int Asked = 0; ///< SIGKILL or SIGTERM that the test has sent; 0: none.
  bool OverMemory = false; ///< Killed by the test for its memory.

  /// Whether the process has ended by itself: not by a signal of the test, or
  /// otherwise than the signal asks for.
  bool isOwn() const;
  std::string toText() const;
};

/// One process, or the place of one that has ended.
struct member {
  std::string Name;
  role Role = role::Entry;
  std::string Ip;
  std::string DataCentre;
  std::string Service; ///< Of an upstream.
  host_limits Limits;
  std::shared_ptr<process_end> End; ///< Of the current start.
  int Starts = 0;
  handle<GSubprocess> Process;
  bool Stopped = false; ///< By SIGSTOP.
  time_point StartedAt;
  time_point EndedAt; ///< Zero while it runs, or was ended by the test.
  bool Restarts = false;
  bool UsesOther = false; ///< Runs fleet_settings::OtherDaemon.
  std::unique_ptr<standin::tcp_link> CallerLink; ///< If the fleet has links.
  std::unique_ptr<standin::tcp_link> StoreLink;
};

/// A request that an upstream has told of.
struct run_line {
  std::int64_t AtMs = 0; ///< Time of day
  std::string Upstream;
  std::string Service;
  std::string What; ///< run, end, crash, lost, left
  std::string Attempt;
  std::string Crash;        ///< The mark of a request that ends its upstream.
  std::string Input;        ///< Hash of what it was given.
  std::int64_t LeftMs = -1; ///< Time left by the request; -1: not told.
  std::string Organisation; ///< Named to the upstream; empty: none.
  bool HasKey = false;      ///< Whether the upstream was sent a key.
};

/// A key and whose it is. Both are empty without organisations.
struct organisation_key {
  std::string Organisation;
  std::string Key;
};

/// Time of day in milliseconds, as in run_line.
std::int64_t wallMs();

/// What one request did to its upstreams, from what they told.
struct crash_record {
  std::vector<std::int64_t> Ends;  ///< Time of day, ms
  std::vector<std::int64_t> Sends; ///< Time of day, ms

  static constexpr std::ptrdiff_t MaxLateSends = 3;
  void add(const run_line &Line);
  /// Sends later than hosts need to hear of its third end.
  std::ptrdiff_t lateSends() const;
};

/// The answer of a stand-in to an order.
struct order_reply {
  std::int64_t AtMs = 0; ///< Time of day; 0 if there was no answer.
  nlohmann::json Body;   ///< Discarded if it is not JSON.
};

class fleet {
public:
  static constexpr const char *PlanHost = site_shape::PlanHost;
  static constexpr const char *ToolHost = site_shape::ToolHost;

  explicit fleet(fleet_settings Settings);
  ~fleet();
  fleet(const fleet &) = delete;
  fleet &operator=(const fleet &) = delete;

  /// Starts everything and waits until each entry host is ready. Returns
  /// false, with lastError(), if that does not come about.
  bool start();

  const fleet_settings &settings() const { return Settings; }
  const site_shape &shape() const { return Shape; }
  /// All processes that have ended so far.
  const std::vector<process_end> &ends() const { return Ends; }
  /// What hosts that are held to limits have used.
  const std::map<std::string, process_usage> &usage() const {
    return Limits.usage();
  }
  member *find(const std::string &Name);
  std::vector<std::string> names(role Role) const;
  bool isRunning(const std::string &Name);
  /// Entry hosts that run and are not stopped.
  std::vector<std::string> entriesInTouch();
  std::string callerAddress(const std::string &Entry);
  /// "ip:port" of a port of the host \p Name that is not for callers.
  enum class host_port { Ready, Peer, Tunnel, Metrics };
  std::string addressOf(const std::string &Name, host_port Port);
  /// Whether a member runs and its program has begun to set how it takes
  /// signals. Before that, while it is being loaded, any signal ends it.
  bool takesSignals(const std::string &Name);
  /// Process id of a member that runs, or 0.
  int pidOf(const std::string &Name);

  /// Sets whether a host runs the daemon of the other version from its next
  /// start on. Before start(), the name may be that of a host to come.
  void useOther(const std::string &Name, bool UsesOther);

  /// Starts a process that has ended, or a new one of the role.
  bool startMember(const std::string &Name, bool Fresh = false);
  /// A new host of the role, an entry or a disk host.
  std::string addHost(role Role);
  /// Takes a member away for good.
  void remove(const std::string &Name);

  void kill(const std::string &Name);
  void signal(const std::string &Name, int Number);
  /// The folder that has the disks of all hosts.
  std::string diskRoot() const;
  /// Writes the settings file of a host again, in place.
  void rewriteSettings(const std::string &Name);
  std::string settingsFile(const std::string &Name) const;
  /// Kills a disk host and empties its disk.
  void wipe(const std::string &Name);
  /// Kills a host, whose disk loses what no sync has covered: as \p Kind says,
  /// or all or some of it, as chosen from \p Seed.
  void losePower(const std::string &Name, std::uint64_t Seed,
                 std::optional<disk_standin::power_loss> Kind = std::nullopt);
  /// Sets whether the disk of a host takes no more bytes (ENOSPC).
  void setDiskFull(const std::string &Name, bool IsFull);
  std::string diskFolder(const std::string &Name) const;

  /// Orders to the store's stand-in, or to an upstream's. Returns the time of
  /// day of the answer in milliseconds; 0 if there was none.
  std::int64_t order(const std::string &Name, const nlohmann::json &Order);
  /// The same, and returns the whole answer.
  order_reply ask(const std::string &Name, const nlohmann::json &Order);

  /// Puts a configuration in force. Each \p Routes has a route that the others
  /// have not, under versionHost().
  void configure(std::uint64_t Routes);
  static std::string versionHost(std::uint64_t Routes);

  /// All keys begin with this text.
  static constexpr const char *KeyPrefix = "secret-key-";
  std::string organisation(std::size_t Number) const;
  /// Returns a key that is valid in all configurations.
  organisation_key lastingKey(std::size_t Caller) const;
  /// Puts a configuration in force that has \p Keys beside the lasting ones.
  /// Returns when the store acknowledged it, as order() does.
  std::int64_t putKeys(std::vector<organisation_key> Keys);
  /// Whether a configuration is being written. Another one might overtake it.
  bool isConfiguring() const { return Configuring; }

  bool waitReady(const std::string &Entry, milliseconds Bound);

  /// What all upstreams have told so far.
  std::vector<run_line> runs() const;

  http1::client &http() { return *Http; }
  /// Returns the client of callers at the address \p SourceIp; http() if it is
  /// empty.
  http1::client &httpFrom(const std::string &SourceIp);
  /// Expires with the fleet, for timers that may outlive it.
  std::weak_ptr<const bool> alive() const { return Alive; }

  /// Turns the loop until \p Reached; false after \p Bound.
  bool wait(milliseconds Bound, const std::function<bool()> &Reached);
  void pause(milliseconds Time);

private:
  member &place(const std::string &Name, role Role);
  void placeHosts(role Role, const std::vector<host_group> &Groups);
  void placeUpstreams(const service_shape &Service);
  bool openLinks(member &Member);
  std::string storeAddress(const member &Member) const;
  std::vector<std::string> commandOf(member &Member);
  std::string journalOf(const std::string &Name) const;
  std::string writeSettings(const member &Member, bool Fresh) const;
  bool spawn(member &Member, bool Fresh);
  void reviveUpstreams();
  void watchEnd(member &Member);
  void noteEnd(const std::shared_ptr<process_end> &End);
  void addSiteSettings(const member &Member, nlohmann::json &Root) const;
  std::int64_t putConfiguration();
  nlohmann::json organisationsToJson() const;

  fleet_settings Settings;
  site_shape Shape;
  std::map<std::string, member> Members;
  std::vector<process_end> Ends;
  limit_keeper Limits;
  std::optional<http1::client> Http;
  std::map<std::string, http1::client> SourceClients; ///< By source address.
  std::shared_ptr<const bool> Alive = std::make_shared<bool>(true);
  std::uint64_t ConfigVersion = 0;
  std::uint64_t Routes = 0; ///< See configure().
  std::vector<organisation_key> AddedKeys;
  bool Configuring = false;
  unsigned Number = 0; ///< Of the fleets of this process.
  std::uint8_t NextIp = 1;
  std::map<role, int> NextNumber;
  loop_source Reviver;
};

/// The shape of a fleet without a site file.
site_shape usualShape(const fleet_settings &Settings);

} // namespace turmerichead::fleet_harness
