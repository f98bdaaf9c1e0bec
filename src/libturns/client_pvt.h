/// \file
/// The implementation of the turns client: routing to hosts, open and close
/// operations.
#pragma once

#include "quorum_pvt.h"
#include "turmerichead/log.h"
#include "turmerichead/net_loop.h"
#include "turmerichead/table.h"
#include "turmerichead/turns_client.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

namespace turmerichead::turns {

/// The kinds of deadlines of an operation: its timeout, no reply within
/// ReplyTimeout, the end of the wait for stragglers, and the next resend.
enum class deadline_kind : std::uint8_t { Timeout, Reply, Stragglers, Resend };

/// The state of the direct link to a host.
struct link_state {
  /// Send time of the oldest request since the last reply; empty if there is
  /// none.
  std::optional<time_point> UnansweredSince;
  time_point PingedAt;
};

/// An open in progress.
struct open_operation {
  open_call Call;
  std::function<void(const open_result &)> Done;
  reservation_quorum Quorum;
  chain_search Chain;
  bool StragglersTimedOut = false;
  bool SecondRoundStarted = false;
  bool Resent = false; ///< To the hosts that did not reply in time.
};

/// A close in progress.
struct close_operation {
  close_call Call;
  std::function<void(bool)> Done;
  std::map<std::string, time_point, std::less<>> AckedAt; ///< By address.
  bool ToAllMembers = false; ///< Send the turn to every member.
};

/// An operation and the set under which it was last started.
struct operation_row {
  disk_set Set;
  std::variant<open_operation, close_operation> Kind;
};

/// The client; its functions run on the event loop.
struct client::impl {
  client_settings Settings;
  std::optional<peer_links> Links;
  std::optional<deadline_queue> Deadlines;
  disk_set Set;
  table<operation_row> Operations;
  std::map<std::string, link_state, std::less<>> LinkStates; ///< By address.
  std::vector<std::string> Forwarders;
  client_counters Counters;

  void setDeadline(operation_id Id, milliseconds Delay, deadline_kind Kind);
  void onDeadline(operation_id Id, deadline_kind Kind);
  /// Returns the members of the operation's set, see hostsForProgram().
  std::vector<disk_host> membersByPreference(const operation_row &Row) const;
  bool isUnresponsive(std::string_view Address) const;
  /// Returns the forwarder for requests to a disk host, or nullopt if none
  /// replies. Near ones come first.
  std::optional<std::string> forwarderTo(std::string_view Address) const;
  /// Whether the forwarder replies, or has not been tried for a while.
  bool isForwarding(const std::string &Host) const;
  void transmit(const std::string &Address, peer_request Request,
                const std::function<void(std::string_view)> &OnMessage);
  void sendDirectly(const std::string &Address, peer_request Request,
                    const std::function<void(std::string_view)> &OnMessage);
  bool sendForwarded(const std::string &Address, const peer_request &Request,
                     const std::function<void(std::string_view)> &OnMessage);
  void pingIfDue(const std::string &Address);
  bool adoptNewerSet(operation_id Id, std::uint8_t Status,
                     const disk_set &Newer);

  template <typename Reply>
  void send(operation_id Id, const disk_host &Host, std::string_view Path,
            std::string Body,
            void (impl::*Handle)(operation_id, const std::string &,
                                 const Reply &));

  void startOpen(operation_id Id);
  void sendOpen(operation_id Id);
  void requestChain(operation_id Id);
  void startSecondRound(operation_id Id);
  void onOpenReply(operation_id Id, const std::string &Address,
                   const open_reply &Reply);
  void onChainReply(operation_id Id, const std::string &Address,
                    const std::string &Asked, const open_reply &Reply);
  void onSpentReply(operation_id Id, const std::string &Address,
                    const open_reply &Reply);
  void decideOpen(operation_id Id);
  /// Sends the earlier attempts of a program to the hosts that lack them.
  void repairSpending(const operation_row &Row);
  void finishOpen(operation_id Id, open_outcome Outcome, std::string Reason);

  void startClose(operation_id Id);
  void onCloseReply(operation_id Id, const std::string &Address,
                    const close_reply &Reply);
  void decideClose(operation_id Id);
  void finishClose(operation_id Id, bool Kept);
};

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
               log::warn("failed to decode disk host reply",
                         {{"address", Address}, {"reason", lastError().Text}});
           });
}

} // namespace turmerichead::turns
