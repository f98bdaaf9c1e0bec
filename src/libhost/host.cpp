#include "host_pvt.h"

#include "turmerichead/log.h"

#include <algorithm>
#include <fstream>
#include <glib-unix.h>
#include <iterator>
#include <utility>

namespace turmerichead {

using namespace host_pvt;

namespace {

constexpr milliseconds FastInterval{50};
constexpr milliseconds SlowInterval{1000};
constexpr milliseconds DrainInterval{50};
constexpr milliseconds DrainGrace{1000};

platform_settings platformSettings(const host_settings &Settings,
                                   std::uint64_t Seed) {
  platform_settings Result;
  Result.BaseUrl = Settings.Platform.Url;
  Result.Namespace = Settings.Platform.Namespace;
  Result.Host = Settings.Host.Id;
  Result.Timeout = Settings.Platform.Timeout;
  Result.ReadsPerSecond = static_cast<double>(Settings.Platform.ReadsPerS);
  Result.ReadBurst = Result.ReadsPerSecond;
  Result.WritesPerSecond = static_cast<double>(Settings.Platform.WritesPerS);
  Result.WriteBurst = Result.WritesPerSecond;
  Result.Seed = Seed;
  return Result;
}

} // namespace

host::state::state(host_settings Settings) {
  Context.Settings = std::move(Settings);
  Context.Random.seed(std::random_device()());
  Context.PlatformSeen = steadyNow();
  Loop = g_main_loop_new(nullptr, FALSE);
}

host::state::~state() {
  FastTimer.stop();
  SlowTimer.stop();
  DrainTimer.stop();
  Front.reset();
  Peers.reset();
  g_main_loop_unref(Loop);
}

bool host::state::readKey() {
  const std::string &Path = Context.Settings.Cluster.SharedKeyFile;
  std::ifstream File(Path);
  Context.SharedKey.assign(std::istreambuf_iterator<char>(File), {});
  while (!Context.SharedKey.empty() && Context.SharedKey.back() == '\n')
    Context.SharedKey.pop_back();
  if (!Context.SharedKey.empty())
    return true;
  (void)turmerichead::fail(error_code::InvalidInput,
                           "no shared key in " + Path);
  return false;
}

bool host::state::openLinks() {
  peer_settings Peer;
  Peer.Host = Context.self();
  auto Links = peer_links::create(Peer, Context.SharedKey);
  if (!Links)
    return false;
  Context.Links.emplace(std::move(*Links));
  for (const peer_route &Route : Context.Settings.PeerRoutes)
    Context.Links->setRoute(Route.Host, Route.Address.toText());
  peer_server_events Handlers;
  Handlers.OnRequest = [this](const peer_request_view &Request) {
    onPeer(Request);
  };
  Handlers.OnGone = [this](peer_reply_id Reply) { onPeerGone(Reply); };
  auto Server =
      peer_server::create(Context.Settings.Host.PeerListen.toText(), Peer,
                          Context.SharedKey, std::move(Handlers));
  if (!Server)
    return false;
  Peers.emplace(std::move(*Server));
  return true;
}

bool host::state::open() {
  if (!readKey())
    return false;
  auto Http = http_client::create({});
  if (!Http)
    return false;
  Context.Http.emplace(std::move(*Http));
  auto Platform = platform_client::create(
      platformSettings(Context.Settings, Context.Random()), *Context.Http);
  if (!Platform || !openLinks())
    return false;
  Context.Platform.emplace(std::move(*Platform));

  Gates.emplace(Context);
  GateClient.emplace(Context, *Gates);
  Holder.emplace(Context, *GateClient, [this] { Membership->join(); });
  Router.emplace(Context, *Holder);
  Reporter.emplace(Context);
  Holder->beginLife();

  membership_events Members;
  Members.OnJoined = [this] {
    if (!Context.Recorder)
      Context.Recorder.emplace(Context.self(), Context.Settings.Host.DataCentre,
                               Context.Incarnation, steadyNow());
    Gates->refresh();
    Holder->beginLife();
  };
  Members.OnReplaced = [this] { Holder->endLife(); };
  Members.OnMap = [this] {
    Gates->refresh();
    Holder->mapChanged();
  };
  Members.OnConfig = [this](const std::vector<config_row> &Rows) {
    Watcher->takeFromPeer(Rows);
  };
  Members.OnUpstreams = [this](const std::string &Upstreams) {
    Watcher->takeUpstreams(Upstreams);
  };
  Members.Loads = [this] { return Gates->loads(); };
  Membership.emplace(Context, std::move(Members));

  watcher_events Watched;
  Watched.OnEntry = [this](std::string_view Name) {
    if (const catalogue_entry *Entry = Context.Config.find(Name))
      Holder->entryChanged(*Entry);
    if (Name == FleetEntryName)
      Gates->fleetChanged();
  };
  Watched.OnUpstreams = [this] { Gates->refresh(); };
  Watcher.emplace(Context, std::move(Watched));

  front_events Events;
  Events.IsReady = [this] {
    return !Context.Draining && Membership->joined() && Holder->servesAll();
  };
  Events.Drain = [this] { beginDrain(); };
  Events.Metrics = [this] {
    Gates->exportMetrics();
    return Reporter->metricsPage();
  };
  Events.Report = [this](auto Done) { Reporter->build(std::move(Done)); };
  Events.Status = [this] { return Reporter->status(); };
  Front.emplace(Context, *Router, std::move(Events));
  return Front->listen();
}

void host::state::start() {
  Watcher->start();
  Membership->join();
  FastTimer = timer::every(FastInterval, [this] { tickFast(); });
  SlowTimer = timer::every(SlowInterval, [this] { tickSlow(); });
  log::info("host started",
            {{"listen", Context.Settings.Host.Listen.toText()},
             {"peer_listen", Context.Settings.Host.PeerListen.toText()},
             {"data_centre", Context.Settings.Host.DataCentre}});
}

void host::state::tickFast() {
  Gates->tick();
  Holder->tick();
}

void host::state::tickSlow() { Watcher->tick(); }

// -- Graceful shutdown ------------------------------------------------------

void host::state::beginDrain() {
  if (Context.Draining)
    return;
  Context.Draining = true;
  DrainSince = steadyNow();
  log::info("drain begins", {{"open_calls", Front->open()}});
  DrainTimer = timer::every(DrainInterval, [this] { drainTick(); });
}

// It does not wait for asks at its gates: holders ask the next gate.
bool host::state::isIdle() const {
  return Front->open() == 0 && Router->open() == 0 && CallsOfPeers.empty();
}

void host::state::drainTick() {
  if (Removed) {
    // Other hosts may have sent calls before they learned of the removal.
    if (isIdle())
      g_main_loop_quit(Loop);
    return;
  }
  if (!Membership->joined()) {
    if (Front->open() == 0)
      g_main_loop_quit(Loop);
    return;
  }
  const host_record *Self = Context.Map.find(Context.self());
  bool Last = Context.Map.Hosts.size() <= 1;
  // The map is changed once at a time: leave() may still be in progress.
  if (!Last && Self && Self->State != host_state::Leaving) {
    Membership->leave();
    return;
  }
  // Callers could use open connections without end. Once the load balancer has
  // had time to see that this host is not ready, no more are accepted.
  if (steadyNow() - DrainSince < DrainGrace)
    return;
  Front->stopAccepting();
  if (!isIdle() || Removing)
    return;
  if (Last) {
    // There is no other host for the shards. Their snapshots and journal are on
    // the platform for the next host.
    g_main_loop_quit(Loop);
    return;
  }
  if (!Holder->empty())
    return;
  Removing = true;
  Membership->remove([this] {
    log::info("drained", {{"took_ms", (steadyNow() - DrainSince).count()}});
    Removed = true; // Written answers are sent before the next tick.
  });
  after(SlowInterval, [this] { Removing = false; });
}

// -- Requests of other hosts ------------------------------------------------

template <typename Message>
void host::state::answerOptional(peer_reply_id Reply,
                                 const std::optional<Message> &Value) {
  if (Value) {
    answer(Reply, *Value);
    return;
  }
  Peers->end(Reply, {lastError().Code, lastError().Text});
}

void host::state::onPeer(const peer_request_view &Request) {
  if (Request.Path == CallPath)
    onCall(Request);
  else if (Request.Path == AskPath)
    onAsk(Request);
  else if (Request.Path == DonePath)
    onDone(Request);
  else if (Request.Path == BeatPath)
    onBeat(Request);
  else
    onSmall(Request);
}

void host::state::onCall(const peer_request_view &Request) {
  auto Message = unpack<call_message>(Request.Body);
  peer_reply_id Reply = Request.Reply;
  if (!Message) {
    Peers->end(Reply, {error_code::Corrupt, lastError().Text});
    return;
  }
  answer_sink Sink;
  Sink.OnEvents = [this, Reply](std::string_view Events) {
    Peers->write(Reply, pack(answer_frame{false, std::string(Events)}));
  };
  Sink.OnEnd = [this, Reply](const call_end &End) {
    CallsOfPeers.erase(Reply);
    Peers->write(Reply, pack(answer_frame{true, pack(End)}));
    Peers->end(Reply, {});
  };
  CallsOfPeers[Reply] = 0;
  waiter_id Waiter = Holder->submit(*Message, std::move(Sink));
  if (CallsOfPeers.contains(Reply))
    CallsOfPeers[Reply] = Waiter;
}

void host::state::onAsk(const peer_request_view &Request) {
  auto Message = unpack<ask_message>(Request.Body);
  peer_reply_id Reply = Request.Reply;
  if (!Message) {
    Peers->end(Reply, {error_code::Corrupt, lastError().Text});
    return;
  }
  // The stream stays open after a grant. If it is lost, the gate knows that the
  // holder has failed.
  AsksOfPeers[Reply] = {Message->Group, {}};
  auto Id = Gates->ask(*Message, [this, Reply](const ask_reply &Answer) {
    Peers->write(Reply, pack(Answer));
    if (Answer.Granted)
      return;
    AsksOfPeers.erase(Reply);
    Peers->end(Reply, {});
  });
  auto Found = AsksOfPeers.find(Reply);
  if (Found != AsksOfPeers.end())
    Found->second.Request = Id;
}

void host::state::onDone(const peer_request_view &Request) {
  auto Message = unpack<done_message>(Request.Body);
  Peers->end(Request.Reply, {});
  if (!Message)
    return;
  sched::request_id Id{Message->AskIndex, Message->AskGeneration};
  auto Ask = std::find_if(
      AsksOfPeers.begin(), AsksOfPeers.end(), [&](const auto &Row) {
        return Row.second.Request == Id && Row.second.Group == Message->Group;
      });
  if (Ask != AsksOfPeers.end()) {
    peer_reply_id Reply = Ask->first;
    AsksOfPeers.erase(Ask);
    Peers->end(Reply, {});
  }
  Gates->done(*Message);
}

void host::state::onBeat(const peer_request_view &Request) {
  auto Message = unpack<beat_message>(Request.Body);
  if (!Message) {
    Peers->end(Request.Reply, {error_code::Corrupt, lastError().Text});
    return;
  }
  state_message Reply = Membership->receive(Request.Host, *Message);
  if (Reply.Config.empty() && Reply.Map.empty()) {
    Peers->end(Request.Reply, {});
    return;
  }
  answer(Request.Reply, Reply);
}

void host::state::onSmall(const peer_request_view &Request) {
  peer_reply_id Reply = Request.Reply;
  std::string_view Path = Request.Path;
  std::string_view Body = Request.Body;
  auto Take = [&]<typename Message>(std::optional<Message> Value, auto Action) {
    if (!Value)
      Peers->end(Reply, {error_code::Corrupt, lastError().Text});
    else
      Action(*Value);
  };
  if (Path == HistoryPath) {
    Take(unpack<program_message>(Body), [&](const program_message &Value) {
      answer(Reply, Holder->history(Value));
    });
  } else if (Path == EndPath) {
    Take(unpack<program_message>(Body), [&](const program_message &Value) {
      answer(Reply, Holder->endProgram(Value));
    });
  } else if (Path == EndedPath) {
    Take(unpack<ended_message>(Body), [&](const ended_message &Value) {
      Gates->ended(Value.Program);
      Peers->end(Reply, {});
    });
  } else if (Path == LivingPath) {
    Take(unpack<living_message>(Body), [&](const living_message &Value) {
      answer(Reply, Holder->living(Value));
    });
  } else if (Path == PoisonPath) {
    Take(sched::decodePoisonEntries(Body),
         [&](const std::vector<sched::poison_entry> &Value) {
           Gates->mergePoison(Value);
           Peers->end(Reply, {});
         });
  } else if (Path == KeepPath) {
    Take(unpack<keep_message>(Body), [&](const keep_message &Value) {
      answerOptional(Reply, Holder->keep(Value));
    });
  } else if (Path == TrimPath) {
    Take(unpack<trim_message>(Body), [&](const trim_message &Value) {
      Holder->trim(Value);
      Peers->end(Reply, {});
    });
  } else if (Path == ClosePath) {
    Take(unpack<close_message>(Body), [&](const close_message &Value) {
      answerOptional(Reply, Holder->close(Value));
    });
  } else if (Path == SealedPath) {
    Take(unpack<close_message>(Body), [&](const close_message &Value) {
      Holder->sealed(Value);
      Peers->end(Reply, {});
    });
  } else if (Path == StatePath) {
    state_message State = Membership->everything();
    State.Upstreams = Watcher->upstreamsAsJson();
    answer(Reply, State);
  } else if (Path == ReportPath) {
    Peers->write(Reply, Reporter->own());
    Peers->end(Reply, {});
  } else {
    Peers->end(Reply, {error_code::NotFound, "unknown path"});
  }
}

void host::state::onPeerGone(peer_reply_id Reply) {
  auto Call = CallsOfPeers.find(Reply);
  if (Call != CallsOfPeers.end()) {
    waiter_id Waiter = Call->second;
    CallsOfPeers.erase(Call);
    Holder->callerGone(Waiter);
    return;
  }
  auto Ask = AsksOfPeers.find(Reply);
  if (Ask == AsksOfPeers.end())
    return;
  ask_row Row = Ask->second;
  AsksOfPeers.erase(Ask);
  Gates->cancel(Row.Group, Row.Request);
}

// -- The public class -------------------------------------------------------

host::host(std::unique_ptr<state> State) : State(std::move(State)) {}
host::host(host &&Other) noexcept = default;
host &host::operator=(host &&Other) noexcept = default;
host::~host() = default;

std::optional<host> host::create(host_settings Settings) {
  auto State = std::make_unique<state>(std::move(Settings));
  if (!State->open())
    return std::nullopt;
  return host(std::move(State));
}

int host::run() {
  auto OnSignal = [](void *Data) -> gboolean {
    static_cast<state *>(Data)->beginDrain();
    return G_SOURCE_CONTINUE;
  };
  g_unix_signal_add(SIGTERM, OnSignal, State.get());
  g_unix_signal_add(SIGINT, OnSignal, State.get());
  State->start();
  g_main_loop_run(State->Loop);
  return 0;
}

} // namespace turmerichead
