#include "client_pvt.h"

#include "rank_pvt.h"
#include "turmerichead/turns_forwarder.h"
#include "turmerichead/turns_links.h"

#include <algorithm>

namespace turmerichead::turns {

namespace {

// While a host does not answer, it is asked whether it is back this often.
constexpr milliseconds PingPause{400};
constexpr milliseconds OldSetPause{20};

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

// -- Common ------------------------------------------------------------------

void client::impl::setAlarm(operation_id Id, milliseconds Delay, alarm Kind) {
  Deadlines->add(Delay, keyOf(Id), static_cast<int>(Kind));
}

// Members of this host's data centre first, those that do not answer last.
std::vector<disk_host> client::impl::inOrder(const disk_set &Members) const {
  return sortedByRank(Members.allMembers(), [this](const disk_host &Host) {
    return (isSilent(Host.Address) ? 2 : 0) +
           (Host.DataCentre == Settings.DataCentre ? 0 : 1);
  });
}

// -- Ways to a host ----------------------------------------------------------

bool client::impl::isSilent(std::string_view Address) const {
  auto State = LinkStates.find(Address);
  return State != LinkStates.end() && State->second.UnansweredSince &&
         steadyNow() - *State->second.UnansweredSince >= Settings.ReplyPatience;
}

// Sends a request to a disk host: directly, or by way of a forwarder while
// the host does not answer.
void client::impl::transmit(
    const std::string &Address, peer_request Request,
    const std::function<void(std::string_view)> &OnMessage) {
  if (!isSilent(Address) || !sendForwarded(Address, Request, OnMessage)) {
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

bool client::impl::sendForwarded(
    const std::string &Address, const peer_request &Request,
    const std::function<void(std::string_view)> &OnMessage) {
  auto Forwarder =
      std::find_if(Forwarders.begin(), Forwarders.end(),
                   [&](const std::string &Host) { return !isSilent(Host); });
  if (Forwarder == Forwarders.end())
    return false;
  ++Counters.Forwarded;
  sendDirectly(*Forwarder, forwardedRequest(Address, Request), OnMessage);
  return true;
}

void client::impl::pingIfDue(const std::string &Address) {
  link_state &State = LinkStates[Address];
  time_point Now = steadyNow();
  if (State.PingedAt.Ms > 0 && Now - State.PingedAt < PingPause)
    return;
  State.PingedAt = Now;
  sendDirectly(Address, {std::string(PingPath), {}, pack(ping_request{Set})},
               [](std::string_view) {});
}

// Adopts a newer set that a disk host has told of. Returns true if the
// operation begins again under it.
bool client::impl::learnSet(operation_id Id, std::uint8_t Status,
                            const disk_set &Newer) {
  if (Status != static_cast<std::uint8_t>(reply_status::OldSet))
    return false;
  if (Newer.Epoch > Set.Epoch)
    Set = Newer;
  operation_row *Row = Operations.find(Id);
  if (Row && Row->Set.Epoch < Set.Epoch)
    setAlarm(Id, OldSetPause, alarm::Resend);
  return true;
}

// -- Alarms ------------------------------------------------------------------

void client::impl::onAlarm(operation_id Id, alarm Kind) {
  operation_row *Row = Operations.find(Id);
  if (!Row)
    return;
  auto *Open = std::get_if<open_operation>(&Row->Kind);
  switch (Kind) {
  case alarm::Timeout:
    if (Open)
      finishOpen(Id, open_outcome::Unknown, "too few disk hosts answered");
    else
      finishClose(Id, false);
    return;
  case alarm::Patience:
    if (Open) {
      if (!std::exchange(Open->SentAgain, true))
        sendOpen(Id);
      askChain(Id);
      return;
    }
    if (!std::get<close_operation>(Row->Kind).Wide) {
      std::get<close_operation>(Row->Kind).Wide = true;
      startClose(Id);
    }
    return;
  case alarm::LastReply:
    if (Open) {
      Open->PatienceOver = true;
      decideOpen(Id);
    }
    return;
  case alarm::Resend:
    if (Open)
      startOpen(Id);
    else
      startClose(Id);
    return;
  }
}

// -- The client --------------------------------------------------------------

std::optional<client> client::create(client_settings Settings) {
  auto Impl = std::make_unique<impl>();
  impl *Raw = Impl.get();
  Raw->Settings = std::move(Settings);
  Raw->Links = peer_links::create(linkSettings(Raw->Settings.Host),
                                  Raw->Settings.SharedKey);
  if (!Raw->Links)
    return std::nullopt;
  Raw->Deadlines.emplace([Raw](std::uint64_t Key, int Kind) {
    Raw->onAlarm(idOf<operation_row>(Key), static_cast<alarm>(Kind));
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

operation_id client::open(open_call Call,
                          std::function<void(const open_result &)> Done) {
  ++Impl->Counters.Opens;
  reservation_ballot Ballot(Impl->Set, Call.Tokens, Call.Budget);
  chain_search Chain(Call.Previous);
  open_operation Open{std::move(Call),  std::move(Done), std::move(Ballot),
                      std::move(Chain), false,           false};
  operation_id Id = Impl->Operations.insert({{}, std::move(Open)});
  Impl->setAlarm(Id, Impl->Settings.OpenTimeout, alarm::Timeout);
  Impl->startOpen(Id);
  return Id;
}

void client::cancel(operation_id Id) { Impl->Operations.erase(Id); }

operation_id client::close(close_call Call,
                           std::function<void(bool Kept)> Done) {
  milliseconds Timeout = Call.Timeout;
  close_operation Close{std::move(Call), std::move(Done), {}, false};
  operation_id Id = Impl->Operations.insert({{}, std::move(Close)});
  Impl->setAlarm(Id, Timeout, alarm::Timeout);
  Impl->startClose(Id);
  return Id;
}

client_counters client::counters() const {
  client_counters Counters = Impl->Counters;
  Counters.UnderWay = Impl->Operations.size();
  return Counters;
}

peer_links &client::links() { return *Impl->Links; }

client::client(std::unique_ptr<impl> Impl) : Impl(std::move(Impl)) {}
client::client(client &&Other) noexcept = default;
client &client::operator=(client &&Other) noexcept = default;
client::~client() = default;

} // namespace turmerichead::turns
