#include "loop_pvt.h"

#include <utility>

namespace turmerichead::host_pvt {

timer timer::start(milliseconds Delay, bool Repeat,
                   std::function<void()> Action) {
  timer Result;
  Result.Task = std::make_shared<task>();
  Result.Task->Action = std::move(Action);
  Result.Task->Repeat = Repeat;
  auto Wait = static_cast<guint>(std::max<std::int64_t>(Delay.count(), 0));
  Result.Source = g_timeout_source_new(Wait);
  // The source shares ownership of the task, so that an action may destroy its
  // timer.
  g_source_set_callback(
      Result.Source, fire, new std::shared_ptr<task>(Result.Task),
      [](void *Data) { delete static_cast<std::shared_ptr<task> *>(Data); });
  g_source_attach(Result.Source, nullptr);
  return Result;
}

timer timer::every(milliseconds Interval, std::function<void()> Action) {
  return start(Interval, true, std::move(Action));
}

timer timer::once(milliseconds Delay, std::function<void()> Action) {
  return start(Delay, false, std::move(Action));
}

gboolean timer::fire(void *Data) {
  std::shared_ptr<task> Task = *static_cast<std::shared_ptr<task> *>(Data);
  Task->Action();
  return Task->Repeat ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

timer::timer(timer &&Other) noexcept
    : Source(std::exchange(Other.Source, nullptr)),
      Task(std::move(Other.Task)) {}

timer &timer::operator=(timer &&Other) noexcept {
  if (this == &Other)
    return *this;
  stop();
  Source = std::exchange(Other.Source, nullptr);
  Task = std::move(Other.Task);
  return *this;
}

timer::~timer() { stop(); }

void timer::stop() {
  if (!Source)
    return;
  g_source_destroy(Source);
  g_source_unref(Source);
  Source = nullptr;
  Task.reset();
}

namespace {
void attachOnce(GSource *Source, std::function<void()> Action) {
  g_source_set_priority(Source, G_PRIORITY_DEFAULT);
  g_source_set_callback(
      Source,
      [](void *Data) -> gboolean {
        (*static_cast<std::function<void()> *>(Data))();
        return G_SOURCE_REMOVE;
      },
      new std::function<void()>(std::move(Action)),
      [](void *Data) { delete static_cast<std::function<void()> *>(Data); });
  g_source_attach(Source, nullptr);
  g_source_unref(Source);
}
} // namespace

void defer(std::function<void()> Action) {
  attachOnce(g_idle_source_new(), std::move(Action));
}

void after(milliseconds Delay, std::function<void()> Action) {
  auto Wait = static_cast<guint>(std::max<std::int64_t>(Delay.count(), 0));
  attachOnce(g_timeout_source_new(Wait), std::move(Action));
}

} // namespace turmerichead::host_pvt
