#include "client_pvt.h"

#include "rank_pvt.h"
#include "turmerichead/hash.h"
#include "turmerichead/turns_forwarder.h"
#include "turmerichead/turns_links.h"

#include <algorithm>

namespace turmerichead::turns {

namespace {

// The interval of the pings that check whether an unresponsive host replies
// again.
constexpr milliseconds PingInterval{400};
// Requests to different disk hosts are spread over this many forwarders, as one
// of them may be a small machine.
constexpr std::size_t MaxForwardersUsed = 8;
// A forwarder that did not reply is used again after this time.
constexpr milliseconds ForwarderAvoidTime{5000};
// The delay before an operation restarts under a newer set.
constexpr milliseconds OldSetRetryDelay{20};

} // namespace

std::string_view nameOf(open_outcome Outcome) {
  switch (Outcome) {
  case open_outcome::Granted:
    return "granted";
  case open_outcome::OverBudget:
    return "over_budget";
  case open_outcome::NoSuchTurn:
    return "no_such_turn";
  case open_outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

// -- Deadlines and host order -------------------------------------------------

void client::impl::setDeadline(operation_id Id, milliseconds Delay,
                               deadline_kind Kind) {
  Deadlines->add(Delay, keyOf(Id), static_cast<int>(Kind));
}

std::vector<disk_host>
client::impl::membersByPreference(const operation_row &Row) const {
  return hostsForProgram(
      Row.Set.allMembers(), Settings.DataCentre,
      std::visit([](const auto &Kind) { return Kind.Call.Program; }, Row.Kind),
      [this](std::string_view Address) { return isUnresponsive(Address); });
}

// -- Sending to disk hosts ----------------------------------------------------

bool client::impl::isUnresponsive(std::string_view Address) const {
  auto State = LinkStates.find(Address);
  return State != LinkStates.end() && State->second.UnansweredSince &&
         steadyNow() - *State->second.UnansweredSince >= Settings.ReplyTimeout;
}

// Sends a request to a disk host: directly, or through a forwarder while the
// host is unresponsive.
void client::impl::transmit(
    const std::string &Address, peer_request Request,
    const std::function<void(std::string_view)> &OnMessage) {
  if (!isUnresponsive(Address) || !sendForwarded(Address, Request, OnMessage)) {
    sendDirectly(Address, std::move(Request), OnMessage);
    return;
  }
  pingIfDue(Address);
}

void client::impl::sendDirectly(
    const std::string &Address, peer_request Request,
    const std::function<void(std::string_view)> &OnMessage) {
  link_state &State = LinkStates[Address];
  if (!State.UnansweredSince)
    State.UnansweredSince = steadyNow();
  Links->setAddress(Address, Address);
  Links->send(Address, std::move(Request),
              {[this, Address, OnMessage](std::string_view Bytes) {
                 LinkStates[Address].UnansweredSince.reset();
                 OnMessage(Bytes);
               },
               [](const peer_result &) {}});
}

std::optional<std::string>
client::impl::forwarderTo(std::string_view Address) const {
  std::size_t Used = std::min(Forwarders.size(), MaxForwardersUsed);
  for (std::size_t I = 0; I < Forwarders.size(); ++I) {
    std::size_t Index = I < Used ? (hash64(Address) + I) % Used : I;
    if (isForwarding(Forwarders[Index]))
      return Forwarders[Index];
  }
  return std::nullopt;
}

bool client::impl::isForwarding(const std::string &Host) const {
  if (!isUnresponsive(Host))
    return true;
  return steadyNow() - *LinkStates.find(Host)->second.UnansweredSince >=
         ForwarderAvoidTime;
}

bool client::impl::sendForwarded(
    const std::string &Address, const peer_request &Request,
    const std::function<void(std::string_view)> &OnMessage) {
  auto Forwarder = forwarderTo(Address);
  if (!Forwarder)
    return false;
  ++Counters.Forwarded;
  if (isUnresponsive(*Forwarder))
    LinkStates[*Forwarder].UnansweredSince = steadyNow();
  sendDirectly(*Forwarder, forwardedRequest(Address, Request), OnMessage);
  return true;
}

void client::impl::pingIfDue(const std::string &Address) {
  link_state &State = LinkStates[Address];
  time_point Now = steadyNow();
  if (State.PingedAt.Ms > 0 && Now - State.PingedAt < PingInterval)
    return;
  State.PingedAt = Now;
  sendDirectly(Address, {std::string(PingPath), {}, pack(ping_request{Set})},
               [](std::string_view) {});
}

// Handles a refusal because of an older set: adopts the newer set from the
// reply and schedules a restart of the operation under it. Returns true if the
// reply was a refusal.
bool client::impl::adoptNewerSet(operation_id Id, std::uint8_t Status,
                                 const disk_set &Newer) {
  if (Status != static_cast<std::uint8_t>(reply_status::OldSet))
    return false;
  if (Newer.Epoch > Set.Epoch)
    Set = Newer;
  operation_row *Row = Operations.find(Id);
  if (Row && Row->Set.Epoch < Set.Epoch)
    setDeadline(Id, OldSetRetryDelay, deadline_kind::Resend);
  return true;
}

// -- Expired deadlines --------------------------------------------------------

void client::impl::onDeadline(operation_id Id, deadline_kind Kind) {
  operation_row *Row = Operations.find(Id);
  if (!Row)
    return;
  auto *Open = std::get_if<open_operation>(&Row->Kind);
  switch (Kind) {
  case deadline_kind::Timeout:
    if (Open)
      finishOpen(Id, open_outcome::Unknown, "too few disk hosts answered");
    else
      finishClose(Id, false);
    return;
  case deadline_kind::Reply:
    if (Open) {
      if (!std::exchange(Open->Resent, true))
        sendOpen(Id);
      requestChain(Id);
      return;
    }
    if (!std::get<close_operation>(Row->Kind).ToAllMembers) {
      std::get<close_operation>(Row->Kind).ToAllMembers = true;
      startClose(Id);
    }
    return;
  case deadline_kind::Stragglers:
    if (Open) {
      Open->StragglersTimedOut = true;
      decideOpen(Id);
    }
    return;
  case deadline_kind::Resend:
    if (Open)
      startOpen(Id);
    else
      startClose(Id);
    return;
  }
}

// -- The client ---------------------------------------------------------------

std::optional<client> client::create(client_settings Settings) {
  auto Impl = std::make_unique<impl>();
  impl *Raw = Impl.get();
  Raw->Settings = std::move(Settings);
  Raw->Links = peer_links::create(linkSettings(Raw->Settings.Host),
                                  Raw->Settings.SharedKey);
  if (!Raw->Links)
    return std::nullopt;
  Raw->Deadlines.emplace([Raw](std::uint64_t Key, int Kind) {
    Raw->onDeadline(idOf<operation_row>(Key), static_cast<deadline_kind>(Kind));
  });
  return client(std::move(Impl));
}

void client::updateSet(const disk_set &Set) {
  if (Set.Epoch > Impl->Set.Epoch)
    Impl->Set = Set;
}

const disk_set &client::set() const { return Impl->Set; }

void client::setForwarders(std::vector<std::string> Addresses) {
  Impl->Forwarders = std::move(Addresses);
}

std::optional<std::string> client::forwarderFor(std::string_view Address,
                                                bool HasFailed) const {
  if (!HasFailed && !Impl->isUnresponsive(Address))
    return std::nullopt;
  return Impl->forwarderTo(Address);
}

operation_id client::open(open_call Call,
                          std::function<void(const open_result &)> Done) {
  ++Impl->Counters.Opens;
  reservation_quorum Quorum(Impl->Set, Call.Tokens, Call.Budget);
  chain_search Chain(Call.Previous);
  open_operation Open{std::move(Call),  std::move(Done), std::move(Quorum),
                      std::move(Chain), false,           false};
  operation_id Id = Impl->Operations.insert({{}, std::move(Open)});
  Impl->setDeadline(Id, Impl->Settings.OpenTimeout, deadline_kind::Timeout);
  Impl->startOpen(Id);
  return Id;
}

void client::cancel(operation_id Id) { Impl->Operations.erase(Id); }

operation_id client::close(close_call Call,
                           std::function<void(bool Kept)> Done) {
  milliseconds Timeout = Call.Timeout;
  close_operation Close{std::move(Call), std::move(Done), {}, false};
  operation_id Id = Impl->Operations.insert({{}, std::move(Close)});
  Impl->setDeadline(Id, Timeout, deadline_kind::Timeout);
  Impl->startClose(Id);
  return Id;
}

client_counters client::counters() const {
  client_counters Counters = Impl->Counters;
  Counters.InProgress = Impl->Operations.size();
  return Counters;
}

peer_links &client::links() { return *Impl->Links; }

client::client(std::unique_ptr<impl> Impl) : Impl(std::move(Impl)) {}
client::client(client &&Other) noexcept = default;
client &client::operator=(client &&Other) noexcept = default;
client::~client() = default;

} // namespace turmerichead::turns
