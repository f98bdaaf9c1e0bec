#include "turmerichead/relay_notices.h"

namespace turmerichead::relay {

std::string_view nameOf(limit_change Change) {
  switch (Change) {
  case limit_change::None:
    return "none";
  case limit_change::Named:
    return "named";
  case limit_change::Changed:
    return "changed";
  case limit_change::Ended:
    return "ended";
  }
  return "unknown";
}

limit_change updateLimit(std::optional<request_limit> &Limit,
                         const upstream_notice &Notice, time_point SentAt,
                         time_point Now) {
  if (Notice.HasInvalidLimit)
    return limit_change::None;
  if (!Notice.RequestsPerSecond) {
    if (!Limit || SentAt < Limit->NamedAt)
      return limit_change::None;
    Limit.reset();
    return limit_change::Ended;
  }
  limit_change Change = !Limit ? limit_change::Named
                        : Limit->PerSecond != *Notice.RequestsPerSecond
                            ? limit_change::Changed
                            : limit_change::None;
  Limit = request_limit{*Notice.RequestsPerSecond, Now};
  return Change;
}

} // namespace turmerichead::relay
