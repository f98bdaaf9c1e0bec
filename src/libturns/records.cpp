#include "turmerichead/turns_records.h"

namespace turmerichead::turns {

std::optional<record_kind> kindOf(std::string_view Bytes) {
  if (Bytes.empty())
    return fail(error_code::Corrupt, "empty record");
  switch (static_cast<record_kind>(Bytes.front())) {
  case record_kind::Turn:
  case record_kind::Spend:
  case record_kind::State:
    return static_cast<record_kind>(Bytes.front());
  }
  return fail(error_code::Corrupt, "unknown record kind");
}

} // namespace turmerichead::turns
