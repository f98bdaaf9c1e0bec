#include "turmerichead/clock.h"

namespace turmerichead {

time_point steadyNow() {
  auto Now = std::chrono::steady_clock::now().time_since_epoch();
  return {std::chrono::duration_cast<milliseconds>(Now).count()};
}

std::int64_t wallNowMs() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(Now).count();
}

} // namespace turmerichead
