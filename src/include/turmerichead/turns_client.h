/// \file
/// The client of the disk hosts: reads and writes turns and budgets by quorum.
/// It runs on entry hosts.
///
/// A turn is opened before it is sent to a runner: one request to each disk
/// host reserves its tokens and reads the chain that it continues. A turn is
/// closed at its end: the budget is settled and the turn is stored before the
/// caller receives the end.
///
/// There is no leader. A reservation is granted once a majority has it on disk
/// and it fits the budget together with all reservations that these hosts had
/// before. If two turns open concurrently, the majorities of both overlap, so
/// that at least one of the turns sees the other.
///
///     auto Client = turns::client::create(Settings);
///     Client->updateSet(Set);
///     Client->open({.Attempt = "9c41", ...}, [](const open_result &Result) {
///       if (Result.Outcome == open_outcome::Granted) ...
///     });
///     Client->close(Turn, [](bool Kept) { ... });
#pragma once

#include "turmerichead/net_peer.h"
#include "turmerichead/turns_records.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::turns {

/// Settings of a client.
struct client_settings {
  std::string Host;               ///< Name of this host.
  std::string DataCentre;         ///< Disk hosts in it are preferred.
  std::string SharedKey;          ///< Authenticates the links between hosts.
  milliseconds OpenTimeout{1500}; ///< Of a whole open.
  /// How long to wait for the reply of a host before the request goes to
  /// another host or through a forwarder.
  milliseconds ReplyTimeout{60};
  /// How long to wait for the remaining replies to a reservation once a
  /// majority has it on disk.
  milliseconds StragglerTimeout{12};
  /// How long to wait before unacknowledged requests are sent again.
  milliseconds ResendAfter{300};
  /// Acknowledgements of a close count together only if they arrive within
  /// this time: a host may have lost its disk since an older one.
  milliseconds AckWindow{900};
};

/// The result of an open.
enum class open_outcome : std::uint8_t {
  Granted,
  OverBudget, ///< Confirmed: the turn does not fit the budget.
  NoSuchTurn, ///< Confirmed: the previous turn does not exist.
  Unknown     ///< Too few replies, or a turn of the chain is missing.
};

/// Returns the name of an outcome for logs.
std::string_view nameOf(open_outcome Outcome);

/// The parameters of an open.
struct open_call {
  std::string Attempt;
  std::string Program;
  std::string Previous;      ///< Previous turn; empty at the start of a chain.
  std::uint64_t Tokens = 0;  ///< Maximum that the turn may generate.
  std::uint64_t Budget = 0;  ///< In tokens; 0: no budget.
  milliseconds Retention{0}; ///< Of the reservation.
};

/// The result of an open.
struct open_result {
  open_outcome Outcome = open_outcome::Unknown;
  std::string Chain;       ///< Inputs and outputs of its turns, oldest first.
  std::string Upstream;    ///< Runner of the previous turn; empty if unknown.
  std::uint64_t Spent = 0; ///< Tokens of the other attempts in the replies.
  /// Number of other attempts of the program in the replies.
  std::size_t OtherAttempts = 0;
  std::string Reason; ///< Why it was not granted, for callers and logs.
};

/// The parameters of a close.
struct close_call {
  std::string Attempt;
  std::string Program;
  std::uint64_t Tokens = 0; ///< That the attempt has generated.
  bool HasBudget = false;
  std::optional<turn_record> Turn; ///< Set if the turn is complete.
  milliseconds Retention{0};       ///< Of the settlement.
  milliseconds Timeout{4000};
};

/// Counters since the start, for the metrics.
struct client_counters {
  std::uint64_t Opens = 0;
  std::uint64_t SecondRounds = 0; ///< Opens that read the reservations again.
  /// Records of earlier attempts that were sent to hosts that lacked them.
  std::uint64_t RepairedAttempts = 0;
  std::uint64_t Forwarded = 0; ///< Requests sent through a forwarder.
  std::uint64_t Unknown = 0;   ///< Opens that ended as Unknown.
  std::uint64_t NotKept = 0;   ///< Closes that timed out.
  std::size_t InProgress = 0;  ///< Opens and closes.
};

struct operation_row;
using operation_id = typed_id<operation_row>;

/// Runs opens and closes on the event loop of its thread. Callbacks run there.
class client {
public:
  /// Fails with InvalidInput if the settings can't be used.
  static std::optional<client> create(client_settings Settings);

  /// Adopts a set of disk hosts if it is newer than the current one.
  void updateSet(const disk_set &Set);
  const disk_set &set() const;

  /// Sets the addresses of the forwarders, nearest first. Requests to a disk
  /// host that does not reply are sent through one of them.
  void setForwarders(std::vector<std::string> Addresses);

  /// Returns a forwarder for a request to the disk host at \p Address, if the
  /// host does not reply at present and a forwarder does. \p HasFailed: it has
  /// not replied to a request that this client does not know of.
  std::optional<std::string> forwarderFor(std::string_view Address,
                                          bool HasFailed) const;

  /// Opens a turn. \p Done is called once, after this function has returned.
  operation_id open(open_call Call,
                    std::function<void(const open_result &)> Done);

  /// Cancels an open whose caller has disconnected; its \p Done is not called.
  /// Tokens that it may have reserved have to be settled by close().
  void cancel(operation_id Id);

  /// Settles an attempt and stores its turn, retrying until the timeout.
  /// \p Done is called once with true if everything is committed, and with
  /// false at the timeout. Callers need not wait for it if there is no turn.
  operation_id close(close_call Call, std::function<void(bool Kept)> Done);

  client_counters counters() const;
  /// The links to disk hosts and forwarders.
  peer_links &links();

  client(client &&Other) noexcept;
  client &operator=(client &&Other) noexcept;
  ~client();

  /// Private to the implementation.
  struct impl;

private:
  explicit client(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

} // namespace turmerichead::turns
