/// \file
/// Short requests from entry hosts to disk hosts whose replies are needed at
/// once or not at all: permits (relay_permit_client.h) and tokens of
/// organisations (relay_quota_client.h).
#pragma once

#include "turmerichead/codec.h"
#include "turmerichead/net_loop.h"
#include "turmerichead/net_peer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace turmerichead::relay {

/// The requests of one client that wait for their replies. Used in the loop
/// thread.
class member_requests {
public:
  /// A disk host that has not replied after this time counts as failed.
  static constexpr milliseconds ReplyTimeout{200};

  /// Returns the forwarder by which to reach a disk host, or nullopt for the
  /// own link; see turns::client::forwarderFor().
  using route_function = std::function<std::optional<std::string>(
      std::string_view Address, bool HasFailed)>;

  /// \p Links must outlive the object. Without \p Route, requests go over the
  /// own link only.
  explicit member_requests(peer_links &Links, route_function Route = nullptr)
      : Links(Links), Route(std::move(Route)) {}
  /// Requests that are under way are cancelled.
  ~member_requests();
  member_requests(const member_requests &) = delete;
  member_requests &operator=(const member_requests &) = delete;

  /// Sends \p Message to the disk host at \p Address, and again through a
  /// forwarder if there is no reply over the own link. \p Done gets the reply,
  /// or nullopt if there was no valid one in time; never inside this function.
  template <typename Reply, typename Message>
  void send(const std::string &Address, std::string_view Path,
            const Message &Request,
            std::function<void(const std::optional<Reply> &)> Done) {
    sendBytes(
        Address, Path, pack(Request),
        [Done = std::move(Done)](const std::optional<std::string> &Bytes) {
          Done(Bytes ? unpack<Reply>(*Bytes) : std::nullopt);
        });
  }

  /// Runs \p Action in the next iteration of the loop, unless the object is
  /// destroyed before.
  void soon(std::function<void()> Action);
  /// Runs \p Action after \p Delay, on the same condition.
  void after(milliseconds Delay, std::function<void()> Action);

private:
  using bytes_action = std::function<void(const std::optional<std::string> &)>;
  void sendBytes(const std::string &Address, std::string_view Path,
                 std::string Body, bytes_action Done);
  /// Sends one message to \p Address.
  void sendOnce(const std::string &Address, peer_request Request,
                const bytes_action &Done);

  struct pending_request {
    peer_stream_id Stream;
    loop_source Timeout;
  };
  peer_links &Links;
  route_function Route;
  std::map<std::uint64_t, pending_request> Pending; ///< By its number.
  std::uint64_t NextNumber = 0;
};

} // namespace turmerichead::relay
