/// \file
/// An upstream for measurements: answers streams of paced events under /plan/
/// and short answers elsewhere.
#pragma once

#include "turmerichead/http1_server.h"
#include "turmerichead/net_loop.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace turmerichead::bench {

struct stand_in_settings {
  int Events = 0;         ///< Of a stream.
  milliseconds EventGap;  ///< Between two events.
  std::string CallHeader; ///< Whose value each answer repeats.
};

class stand_in {
public:
  explicit stand_in(stand_in_settings Settings);
  /// Fails with Unavailable.
  bool listen();
  std::string address() const;

private:
  struct stream {
    http1::exchange_id Exchange;
    int Left = 0;
  };
  void onRequest(http1::exchange_id Id, const http1::request &Request);
  void sendEvent(std::uint64_t Key);

  stand_in_settings Settings;
  std::optional<http1::server> Server;
  std::unordered_map<std::uint64_t, stream> Streams;
  std::uint64_t LastStream = 0;
  deadline_queue Due;
};

} // namespace turmerichead::bench
