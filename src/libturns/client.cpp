#include "turmerichead/turns_client.h"

#include "ballot_pvt.h"
#include "turmerichead/log.h"
#include "turmerichead/net_loop.h"
#include "turmerichead/table.h"
#include "turmerichead/turns_forwarder.h"
#include "turmerichead/turns_links.h"

#include <nlohmann/json.hpp>
#include <variant>

namespace turmerichead::turns {

namespace {

// While a host does not answer, it is asked whether it is back this often.
constexpr milliseconds PingPause{400};
constexpr milliseconds OldSetPause{20};

/// What a deadline of an operation is for.
enum class alarm : std::uint8_t { Timeout, Patience, LastReply, Resend };

/// What is known of the way to a host.
struct link_state {
  std::optional<time_point> UnansweredSince; ///< The oldest request without a
                                             ///< reply to it or a later one.
  time_point PingedAt;
};

struct open_operation {
  open_call Call;
  std::function<void(const open_result &)> Done;
  reservation_ballot Ballot;
  chain_search Chain;
  bool PatienceOver = false;
  bool ReadingAgain = false;
  bool SentAgain = false; ///< To the hosts that did not answer at once.
};

struct close_operation {
  close_call Call;
  std::function<void(bool)> Done;
  std::map<std::string, time_point, std::less<>> Kept; ///< When, by address.
  bool Wide = false; ///< The turn goes to every member, not to a majority.
};

} // namespace

struct operation_row {
  disk_set Set;
  std::variant<open_operation, close_operation> Kind;
};

struct client::impl {
  client_settings Settings;
  std::optional<peer_links> Links;
  std::optional<deadline_queue> Deadlines;
  std::function<void(const disk_set &)> NewSet;
  disk_set Set;
  table<operation_row> Operations;
  std::map<std::string, link_state, std::less<>> LinkStates; ///< By address.
  std::vector<std::string> Forwarders;
  client_counters Counters;

  void setAlarm(operation_id Id, milliseconds Delay, alarm Kind);
  void onAlarm(operation_id Id, alarm Kind);
  std::vector<disk_host> inOrder(const disk_set &Members) const;
  bool isSilent(std::string_view Address) const;
  void transmit(const std::string &Address, peer_request Request,
                const std::function<void(std::string_view)> &OnMessage);
  void sendDirectly(const std::string &Address, peer_request Request,
                    const std::function<void(std::string_view)> &OnMessage);
  bool sendForwarded(const std::string &Address, const peer_request &Request,
                     const std::function<void(std::string_view)> &OnMessage);
  void pingIfDue(const std::string &Address);
  bool learnSet(operation_id Id, std::uint8_t Status, const disk_set &Newer);

  template <typename Reply>
  void send(operation_id Id, const disk_host &Host, std::string_view Path,
            std::string Body,
            void (impl::*Handle)(operation_id, const std::string &,
                                 const Reply &));

  void startOpen(operation_id Id);
  void sendOpen(operation_id Id);
  void askChain(operation_id Id);
  void readAgain(operation_id Id);
  void onOpenReply(operation_id Id, const std::string &Address,
                   const open_reply &Reply);
  void onChainReply(operation_id Id, const std::string &Address,
                    const std::string &Asked, const open_reply &Reply);
  void onSpentReply(operation_id Id, const std::string &Address,
                    const open_reply &Reply);
  void decideOpen(operation_id Id);
  void finishOpen(operation_id Id, open_outcome Outcome, std::string Reason);

  void startClose(operation_id Id);
  void onCloseReply(operation_id Id, const std::string &Address,
                    const close_reply &Reply);
  void decideClose(operation_id Id);
  void finishClose(operation_id Id, bool Kept);
};

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
  std::vector<disk_host> Hosts = Members.everyone();
  auto Rank = [&](const disk_host &Host) {
    return (isSilent(Host.Address) ? 2 : 0) +
           (Host.DataCentre == Settings.DataCentre ? 0 : 1);
  };
  std::stable_sort(Hosts.begin(), Hosts.end(),
                   [&](const disk_host &Left, const disk_host &Right) {
                     return Rank(Left) < Rank(Right);
                   });
  return Hosts;
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
  if (Newer.Epoch > Set.Epoch) {
    Set = Newer;
    if (NewSet)
      NewSet(Set);
  }
  operation_row *Row = Operations.find(Id);
  if (Row && Row->Set.Epoch < Set.Epoch)
    setAlarm(Id, OldSetPause, alarm::Resend);
  return true;
}

template <typename Reply>
void client::impl::send(operation_id Id, const disk_host &Host,
                        std::string_view Path, std::string Body,
                        void (impl::*Handle)(operation_id, const std::string &,
                                             const Reply &)) {
  std::string Address = Host.Address;
  transmit(Address, {std::string(Path), {}, std::move(Body)},
           [this, Id, Address, Handle](std::string_view Bytes) {
             if (!Operations.find(Id))
               return;
             if (auto Message = unpack<Reply>(Bytes))
               (this->*Handle)(Id, Address, *Message);
             else
               log::warn("reply of a disk host does not decode",
                         {{"address", Address}, {"reason", lastError().Text}});
           });
}

// -- Opening -----------------------------------------------------------------

void client::impl::startOpen(operation_id Id) {
  operation_row &Row = *Operations.find(Id);
  Row.Set = Set;
  auto &Open = std::get<open_operation>(Row.Kind);
  Open.Ballot = reservation_ballot(Row.Set, Open.Call.Tokens, Open.Call.Budget);
  Open.PatienceOver = false;
  Open.ReadingAgain = false;
  Open.Chain.askAgain();
  Open.SentAgain = false;
  sendOpen(Id);
  setAlarm(Id, Settings.ReplyPatience, alarm::Patience);
  setAlarm(Id, Settings.ResendAfter, alarm::Resend);
}

// Sends the reservation to the hosts that have not answered, and asks the
// first of them for the chain.
void client::impl::sendOpen(operation_id Id) {
  operation_row &Row = *Operations.find(Id);
  auto &Open = std::get<open_operation>(Row.Kind);
  bool First = true;
  open_request Request;
  Request.Set = Row.Set;
  Request.Spend = {Open.Call.Program, Open.Call.Attempt, Open.Call.Tokens,
                   false, static_cast<std::uint64_t>(Open.Call.Keep.count())};
  Request.Budget = Open.Call.Budget;
  for (const disk_host &Host : inOrder(Row.Set)) {
    if (Open.Ballot.hasAnswered(Host.Address))
      continue;
    bool AsksChain =
        First && !Open.Chain.isWhole() && !Open.Chain.wasAsked(Host.Address);
    Request.Previous = AsksChain ? Open.Chain.wanted() : std::string();
    if (Open.Call.Budget == 0 && !AsksChain)
      break;
    if (AsksChain)
      Open.Chain.noteAsked(Host.Address);
    send<open_reply>(Id, Host, OpenPath, pack(Request), &impl::onOpenReply);
    First = false;
  }
}

void client::impl::askChain(operation_id Id) {
  operation_row &Row = *Operations.find(Id);
  auto &Open = std::get<open_operation>(Row.Kind);
  if (Open.Chain.isWhole())
    return;
  for (const disk_host &Host : inOrder(Row.Set)) {
    if (Open.Chain.wasAsked(Host.Address))
      continue;
    Open.Chain.noteAsked(Host.Address);
    std::string Asked = Open.Chain.wanted();
    std::string Address = Host.Address;
    lookup_request Request{Row.Set, {}, {}, Asked};
    transmit(Address, {std::string(ChainPath), {}, pack(Request)},
             [this, Id, Address, Asked](std::string_view Bytes) {
               auto Reply = unpack<open_reply>(Bytes);
               if (Reply && Operations.find(Id))
                 onChainReply(Id, Address, Asked, *Reply);
             });
    setAlarm(Id, Settings.ReplyPatience, alarm::Patience);
    return;
  }
}

void client::impl::onOpenReply(operation_id Id, const std::string &Address,
                               const open_reply &Reply) {
  if (learnSet(Id, Reply.Status, Reply.Set))
    return;
  operation_row &Row = *Operations.find(Id);
  auto &Open = std::get<open_operation>(Row.Kind);
  Open.Ballot.onReply(Address, Reply);
  bool HasChain = Reply.Chain.Found || !Reply.Chain.Missing.empty();
  if (HasChain)
    onChainReply(Id, Address, Open.Call.Previous, Reply);
  else
    decideOpen(Id);
}

void client::impl::onChainReply(operation_id Id, const std::string &Address,
                                const std::string &Asked,
                                const open_reply &Reply) {
  if (learnSet(Id, Reply.Status, Reply.Set))
    return;
  operation_row &Row = *Operations.find(Id);
  auto &Open = std::get<open_operation>(Row.Kind);
  bool Readable =
      Reply.Status != static_cast<std::uint8_t>(reply_status::Failed);
  if (Readable)
    Open.Chain.onReply(Address, Asked, Reply.CaughtUp, Reply.Chain);
  if (!Open.Chain.isWhole() && !Open.Chain.isAbsent(Row.Set))
    askChain(Id);
  decideOpen(Id);
}

void client::impl::readAgain(operation_id Id) {
  operation_row &Row = *Operations.find(Id);
  auto &Open = std::get<open_operation>(Row.Kind);
  if (Open.ReadingAgain)
    return;
  Open.ReadingAgain = true;
  ++Counters.SecondRounds;
  lookup_request Request{Row.Set, Open.Call.Program, Open.Call.Attempt, {}};
  for (const disk_host &Host : Row.Set.everyone())
    send<open_reply>(Id, Host, SpentPath, pack(Request), &impl::onSpentReply);
}

void client::impl::onSpentReply(operation_id Id, const std::string &Address,
                                const open_reply &Reply) {
  if (learnSet(Id, Reply.Status, Reply.Set))
    return;
  std::get<open_operation>(Operations.find(Id)->Kind)
      .Ballot.onReadAgain(Address, Reply);
  decideOpen(Id);
}

void client::impl::decideOpen(operation_id Id) {
  operation_row &Row = *Operations.find(Id);
  auto &Open = std::get<open_operation>(Row.Kind);
  if (Open.Chain.isAbsent(Row.Set)) {
    finishOpen(Id, open_outcome::NoSuchTurn, "no majority member has it");
    return;
  }
  if (Open.Chain.isBroken(Row.Set)) {
    finishOpen(Id, open_outcome::Unknown,
               "turn " + Open.Chain.wanted() + " of its chain is missing");
    return;
  }
  using verdict = reservation_ballot::verdict;
  verdict Verdict = verdict::Granted;
  if (Open.Call.Budget > 0)
    Verdict = Open.Ballot.decide(Open.PatienceOver);
  switch (Verdict) {
  case verdict::Wait:
    return;
  case verdict::Patience:
    setAlarm(Id, Settings.LastReplyPatience, alarm::LastReply);
    return;
  case verdict::ReadAgain:
    readAgain(Id);
    return;
  case verdict::OverBudget:
    finishOpen(Id, open_outcome::OverBudget, "the budget is spent");
    return;
  case verdict::Granted:
    break;
  }
  if (Open.Chain.isWhole())
    finishOpen(Id, open_outcome::Granted, {});
}

void client::impl::finishOpen(operation_id Id, open_outcome Outcome,
                              std::string Reason) {
  auto &Open = std::get<open_operation>(Operations.find(Id)->Kind);
  if (Outcome == open_outcome::Unknown)
    ++Counters.Unknown;
  open_result Result{Outcome, Open.Chain.takeBytes(), Open.Chain.upstream(),
                     Open.Ballot.spent(), std::move(Reason)};
  auto Done = std::move(Open.Done);
  Operations.erase(Id);
  Done(Result);
}

// -- Closing -----------------------------------------------------------------

void client::impl::startClose(operation_id Id) {
  operation_row &Row = *Operations.find(Id);
  Row.Set = Set;
  auto &Close = std::get<close_operation>(Row.Kind);
  close_request Request;
  Request.Set = Row.Set;
  auto KeepMs = static_cast<std::uint64_t>(Close.Call.Keep.count());
  if (Close.Call.HasBudget)
    Request.Spend = {Close.Call.Program, Close.Call.Attempt, Close.Call.Tokens,
                     true, KeepMs};
  std::size_t Copies = 0;
  bool Everyone = Close.Wide || Row.Set.isJoint();
  for (const disk_host &Host : inOrder(Row.Set)) {
    if (Close.Kept.contains(Host.Address))
      continue;
    Request.HasTurn = Close.Call.Turn && (Everyone || Copies < Row.Set.Needed);
    Request.Turn = Request.HasTurn ? *Close.Call.Turn : turn_record();
    if (!Request.HasTurn && !Close.Call.HasBudget)
      continue;
    ++Copies;
    bool Counts = Request.HasTurn || !Close.Call.Turn;
    if (Counts)
      send<close_reply>(Id, Host, ClosePath, pack(Request),
                        &impl::onCloseReply);
    else
      transmit(Host.Address, {std::string(ClosePath), {}, pack(Request)},
               [](std::string_view) {});
  }
  setAlarm(Id, Settings.ReplyPatience, alarm::Patience);
  setAlarm(Id, Settings.ResendAfter, alarm::Resend);
}

void client::impl::onCloseReply(operation_id Id, const std::string &Address,
                                const close_reply &Reply) {
  if (learnSet(Id, Reply.Status, Reply.Set))
    return;
  if (Reply.Status != static_cast<std::uint8_t>(reply_status::Ok))
    return;
  std::get<close_operation>(Operations.find(Id)->Kind).Kept[Address] =
      bootNow();
  decideClose(Id);
}

void client::impl::decideClose(operation_id Id) {
  operation_row &Row = *Operations.find(Id);
  auto &Close = std::get<close_operation>(Row.Kind);
  time_point Now = bootNow();
  std::erase_if(Close.Kept, [&](const auto &Entry) {
    return Now - Entry.second > Settings.AckWindow;
  });
  bool Kept = isWriteQuorum(Row.Set, [&](std::string_view Address) {
    return Close.Kept.contains(Address);
  });
  if (Kept)
    finishClose(Id, true);
}

void client::impl::finishClose(operation_id Id, bool Kept) {
  auto &Close = std::get<close_operation>(Operations.find(Id)->Kind);
  if (!Kept)
    ++Counters.NotKept;
  auto Done = std::move(Close.Done);
  Operations.erase(Id);
  Done(Kept);
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

void client::setSet(const disk_set &Set) {
  if (Set.Epoch > Impl->Set.Epoch)
    Impl->Set = Set;
}

const disk_set &client::set() const { return Impl->Set; }

void client::setForwarders(std::vector<std::string> Addresses) {
  Impl->Forwarders = std::move(Addresses);
}

void client::onNewSet(std::function<void(const disk_set &)> Action) {
  Impl->NewSet = std::move(Action);
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
