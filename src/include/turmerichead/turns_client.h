/// \file
/// An entry host's way to the turns and budgets on the disk hosts.
///
/// A turn is opened before it goes to a runner: its tokens are reserved and
/// the chain before it is read, in one exchange. It is closed at its end: the
/// budget is settled and the turn is kept, before its caller sees the end.
///
/// No host decides alone and none is elected. A reservation counts once a
/// majority has it on disk and the reservations that any of them knew before
/// leave room. Two turns that open at the same moment each reach a majority,
/// so that one of them at least sees the other.
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

struct client_settings {
  std::string Host;       ///< This host's own name.
  std::string DataCentre; ///< Hosts in it are asked first.
  std::string SharedKey;
  milliseconds OpenTimeout{1500};
  /// How long a reply is awaited from one host before another is asked, or
  /// another way to the host is taken.
  milliseconds ReplyTimeout{60};
  /// How long the last replies are awaited once a majority has answered.
  milliseconds StragglerTimeout{12};
  /// After which a request that was not acknowledged is sent again.
  milliseconds ResendAfter{300};
  /// Acknowledgements count together only if they came within this time: a
  /// host may have lost its disk since an older one.
  milliseconds AckWindow{900};
};

enum class open_outcome : std::uint8_t {
  Granted,
  OverBudget, ///< Certain: the budget has no room for the turn.
  NoSuchTurn, ///< Certain: the previous turn does not exist.
  Unknown     ///< Too few disk hosts answered.
};

std::string_view nameOf(open_outcome Outcome);

struct open_call {
  std::string Attempt;
  std::string Program;
  std::string Previous;     ///< Empty at the start of a chain.
  std::uint64_t Tokens = 0; ///< The most that the turn may generate.
  std::uint64_t Budget = 0; ///< 0: none.
  milliseconds Retention{0};
};

struct open_result {
  open_outcome Outcome = open_outcome::Unknown;
  std::string Chain;       ///< Inputs and outputs, oldest first.
  std::string Upstream;    ///< The runner of the previous turn, if known.
  std::uint64_t Spent = 0; ///< By other attempts, as far as seen.
  std::string Reason;      ///< For people.
};

struct close_call {
  std::string Attempt;
  std::string Program;
  std::uint64_t Tokens = 0;
  bool HasBudget = false;
  std::optional<turn_record> Turn; ///< Given if the turn has ended whole.
  milliseconds Retention{0};
  milliseconds Timeout{4000};
};

struct client_counters {
  std::uint64_t Opens = 0;
  std::uint64_t SecondRounds = 0; ///< Opens that had to look twice.
  std::uint64_t Forwarded = 0;    ///< Requests sent by way of another host.
  std::uint64_t Unknown = 0;
  std::uint64_t NotKept = 0;
  std::size_t InProgress = 0;
};

struct operation_row;
using operation_id = typed_id<operation_row>;

class client {
public:
  /// Fails with InvalidInput.
  static std::optional<client> create(client_settings Settings);

  /// Tells of a set of disk hosts; older ones are passed over.
  void updateSet(const disk_set &Set);
  const disk_set &set() const;

  /// Tells of hosts that run a forwarder, the nearest first. A disk host that
  /// does not answer is then reached by way of one of them.
  void setForwarders(std::vector<std::string> Addresses);

  /// \p Done is called once, never inside this call.
  operation_id open(open_call Call,
                    std::function<void(const open_result &)> Done);

  /// Forgets an open whose caller has left. What it may have reserved is to
  /// be closed like any attempt.
  void cancel(operation_id Id);

  /// \p Done is told whether all of it is kept. Without a turn nobody need
  /// wait for it; it is tried until the timeout.
  operation_id close(close_call Call, std::function<void(bool Kept)> Done);

  client_counters counters() const;
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
