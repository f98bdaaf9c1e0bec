#include "turmerichead/request_target.h"

#include <glib.h>

#include <utility>

namespace turmerichead {

std::string percentEncode(std::string_view Bytes) {
  if (Bytes == ".")
    return "%2E";
  if (Bytes == "..")
    return "%2E%2E";
  if (Bytes.empty())
    return {};
  gchar *Escaped =
      g_uri_escape_bytes(reinterpret_cast<const guint8 *>(Bytes.data()),
                         static_cast<gssize>(Bytes.size()), nullptr);
  std::string Result = Escaped;
  g_free(Escaped);
  return Result;
}

request_target &request_target::segment(std::string_view Segment) {
  Text += '/';
  Text += percentEncode(Segment);
  return *this;
}

request_target &request_target::parameter(std::string_view Name,
                                          std::string_view Value) {
  Text += std::exchange(HasQuery, true) ? '&' : '?';
  Text += percentEncode(Name);
  Text += '=';
  Text += percentEncode(Value);
  return *this;
}

} // namespace turmerichead
