#include "turmerichead/wall_time.h"

#include <glib.h>

namespace turmerichead {

std::optional<std::string> utcText(std::int64_t WallMs) {
  constexpr std::int64_t MsPerSecond = 1'000;
  GDateTime *Time = g_date_time_new_from_unix_utc(WallMs / MsPerSecond);
  if (!Time)
    return std::nullopt;
  char *Text = g_date_time_format(Time, "%Y-%m-%d %H:%M:%S");
  g_date_time_unref(Time);
  std::string Result = Text ? Text : "";
  g_free(Text);
  return Result;
}

} // namespace turmerichead
