/// \file
/// The upstreams at which programs have run last. Nothing here does I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace turmerichead::relay {

/// Remembers for each program the upstream of its last turn on this host, which
/// has the prompt of the program in its cache. Disk hosts know it only for
/// turns that they store. The number of programs is bounded: those that were
/// not used for longest are dropped. Used in the loop thread.
///
///     Homes.record(Program, UpstreamId);
///     std::string Home = Homes.find(Program);
class program_homes {
public:
  /// Holds at least the \p MinPrograms programs that were used last, and at
  /// most twice as many.
  explicit program_homes(std::size_t MinPrograms) : MinPrograms(MinPrograms) {}

  /// Records that a turn of \p Program was sent to \p Upstream.
  void record(std::string_view Program, std::string_view Upstream);
  /// Returns the id of the upstream, or an empty string.
  std::string find(std::string_view Program) const;

  std::size_t size() const { return Recent.size() + Older.size(); }

private:
  std::size_t MinPrograms;
  /// Programs used since Older was replaced. When it is full, it becomes Older.
  std::unordered_map<std::string, std::string> Recent;
  std::unordered_map<std::string, std::string> Older;
};

} // namespace turmerichead::relay
