#include "turmerichead/error.h"

#include <utility>

namespace turmerichead {

namespace {
error &mutableLastError() {
  thread_local error Last;
  return Last;
}
} // namespace

std::string_view nameOf(error_code Code) {
  switch (Code) {
  case error_code::None:
    return "none";
  case error_code::InvalidInput:
    return "invalid_input";
  case error_code::NotFound:
    return "not_found";
  case error_code::Conflict:
    return "conflict";
  case error_code::Unavailable:
    return "unavailable";
  case error_code::Timeout:
    return "timeout";
  case error_code::Refused:
    return "refused";
  case error_code::Fenced:
    return "fenced";
  case error_code::Corrupt:
    return "corrupt";
  case error_code::Unauthorized:
    return "unauthorized";
  case error_code::OutcomeUnknown:
    return "outcome_unknown";
  }
  return "none";
}

const error &lastError() { return mutableLastError(); }

std::nullopt_t fail(error_code Code, std::string Text) {
  mutableLastError() = {Code, std::move(Text)};
  return std::nullopt;
}

} // namespace turmerichead
