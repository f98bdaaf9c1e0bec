#include "event_loop.h"

#include <glib.h>

#include <memory>

namespace turmerichead::scenario {

namespace {

using action = std::function<void()>;

gboolean runOnce(gpointer Data) {
  (*static_cast<action *>(Data))();
  return G_SOURCE_REMOVE;
}

void destroyAction(gpointer Data) {
  const std::unique_ptr<action> Owned(static_cast<action *>(Data));
}

gboolean keepAwake(gpointer /*Data*/) { return G_SOURCE_CONTINUE; }

} // namespace

std::int64_t nowMs() { return g_get_monotonic_time() / 1000; }

bool waitUntil(const std::function<bool()> &Done, std::int64_t BoundMs) {
  constexpr guint WakeMs = 5;
  const std::int64_t EndMs = nowMs() + BoundMs;
  const guint Timer = g_timeout_add(WakeMs, keepAwake, nullptr);
  bool Held = Done();
  while (!Held && nowMs() < EndMs) {
    g_main_context_iteration(nullptr, TRUE);
    Held = Done();
  }
  g_source_remove(Timer);
  return Held;
}

void pauseFor(std::int64_t Ms) {
  waitUntil([] { return false; }, Ms);
}

void after(std::int64_t DelayMs, std::function<void()> Action) {
  auto Owned = std::make_unique<action>(std::move(Action));
  g_timeout_add_full(G_PRIORITY_DEFAULT, static_cast<guint>(DelayMs), runOnce,
                     Owned.release(), destroyAction);
}

} // namespace turmerichead::scenario
