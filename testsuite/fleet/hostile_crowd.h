/// \file
/// Hostile clients: a bounded number of plain non-blocking sockets that write
/// given bytes and read little, in one loop.
#pragma once

#include "turmerichead/clock.h"

#include <cstddef>
#include <functional>
#include <limits>
#include <string>

namespace turmerichead::fleet_harness {

/// What each client of a crowd does. Its connection stays open after its last
/// byte, until the crowd ends or the server closes it.
struct client_plan {
  std::string Address; ///< "ip:port"
  std::size_t Connections = 1;
  /// Written first; each client has its own number in place of "%id%".
  std::string Head;
  std::string Piece;                  ///< Written again and again after it.
  std::size_t Size = 0;               ///< Bytes of the repeated pieces, in all.
  std::size_t WriteBytes = 1U << 20U; ///< At most, in one step.
  milliseconds WritePause{0};         ///< Between two steps of writing.
  /// Bytes that are read: at most \p ReadBytes in one step, with a pause
  /// between two steps, and none after \p ReadLimit.
  std::size_t ReadBytes = 0;
  milliseconds ReadPause{0};
  std::size_t ReadLimit = std::numeric_limits<std::size_t>::max();
  /// Connections are opened again when the server has closed them, so often.
  std::size_t Reopens = 2;
  milliseconds Duration{4000};
  std::function<void()> Sample; ///< Called some ten times a second.
};

struct crowd_counts {
  std::size_t Opened = 0;
  std::size_t Closed = 0; ///< By the server.
  std::size_t Written = 0;
  std::size_t Read = 0;
};

/// Runs a crowd to its end and closes all its connections.
crowd_counts runCrowd(const client_plan &Plan);

/// Peak of the resident memory of a process, in bytes; 0 if it has ended.
std::size_t peakMemoryOf(int Pid);
/// Open descriptors of a process.
std::size_t descriptorsOf(int Pid);

} // namespace turmerichead::fleet_harness
