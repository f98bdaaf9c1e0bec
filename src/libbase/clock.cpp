#include "turmerichead/clock.h"

#include <ctime>

namespace turmerichead {

time_point steadyNow() {
  auto Now = std::chrono::steady_clock::now().time_since_epoch();
  return {std::chrono::duration_cast<milliseconds>(Now).count()};
}

time_point bootNow() {
  constexpr std::int64_t MsPerSecond = 1000;
  constexpr std::int64_t NsPerMs = 1'000'000;
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return {Now.tv_sec * MsPerSecond + Now.tv_nsec / NsPerMs};
}

std::int64_t wallNowMs() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(Now).count();
}

} // namespace turmerichead
