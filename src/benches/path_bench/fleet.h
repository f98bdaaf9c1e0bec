/// \file
/// The hosts and runners that a bench measures, and who holds which program.
#pragma once

#include "turmerichead/cluster_map.h"
#include "turmerichead/net_http.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::bench {

/// Turns the main loop until \p Reached, or for \p Bound. Returns whether it
/// was reached.
bool turnUntil(const std::function<bool()> &Reached, milliseconds Bound);

/// Microseconds of a steady clock.
std::int64_t nowUs();

/// Reads the body of a GET; nullopt if it fails or its status is not 200.
std::optional<std::string> fetch(http_client &Http, const std::string &Url);

/// The hosts of the shard map.
class fleet {
public:
  /// Reads the map from the platform at \p Platform ("ip:port").
  static std::optional<fleet> create(http_client &Http,
                                     const std::string &Platform,
                                     const std::string &Namespace);

  const std::vector<host_record> &hosts() const { return Map.Hosts; }
  const host_record &holderOf(std::string_view Program) const;
  /// The host after \p Host, in the order of ids; another one, if there is
  /// another.
  const host_record &entryBeside(const host_record &Host) const;
  const host_record *find(std::string_view Host) const {
    return Map.find(Host);
  }

private:
  explicit fleet(shard_map Map) : Map(std::move(Map)) {}
  shard_map Map;
};

} // namespace turmerichead::bench
