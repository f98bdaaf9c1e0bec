/// \file
/// Waiting on the default GLib loop for a state, with a bound.
#pragma once

#include <cstdint>
#include <functional>

namespace turmerichead::scenario {

/// Runs the loop until \p Done holds. Answers false where it does not within
/// \p BoundMs.
bool waitUntil(const std::function<bool()> &Done, std::int64_t BoundMs);

/// Runs the loop for \p Ms.
void pauseFor(std::int64_t Ms);

/// Milliseconds of the steady clock.
std::int64_t nowMs();

/// Calls \p Action once after \p DelayMs.
void after(std::int64_t DelayMs, std::function<void()> Action);

} // namespace turmerichead::scenario
