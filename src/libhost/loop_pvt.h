/// \file
/// Timers on the GLib main loop.
#pragma once

#include "turmerichead/clock.h"

#include <algorithm>
#include <functional>
#include <glib.h>
#include <memory>

namespace turmerichead::host_pvt {

/// Calls a function on the main loop, once or repeatedly, until the timer is
/// stopped or destroyed. The function may stop or replace its own timer.
class timer {
public:
  timer() = default;
  static timer every(milliseconds Interval, std::function<void()> Action);
  static timer once(milliseconds Delay, std::function<void()> Action);

  timer(timer &&Other) noexcept;
  timer &operator=(timer &&Other) noexcept;
  ~timer();

  void stop();
  bool running() const { return Source != nullptr; }

private:
  struct task {
    std::function<void()> Action;
    bool Repeat = false;
  };
  static timer start(milliseconds Delay, bool Repeat,
                     std::function<void()> Action);
  static gboolean fire(void *Data);

  GSource *Source = nullptr;
  std::shared_ptr<task> Task;
};

/// Calls \p Action once, after the events of the current loop iteration.
void defer(std::function<void()> Action);

/// Calls \p Action once, after \p Delay.
void after(milliseconds Delay, std::function<void()> Action);

} // namespace turmerichead::host_pvt
