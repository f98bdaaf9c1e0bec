/// \file
/// Targets of HTTP requests and URLs, built from texts of any bytes.
#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace turmerichead {

/// Returns \p Bytes in percent-encoding (RFC 3986), as one path segment or as a
/// value in a query. Decoding gives the same bytes again. All but letters,
/// digits and "-._~" are encoded; so are the dots of "." and "..", which would
/// stand for another path.
std::string percentEncode(std::string_view Bytes);

/// Builds a target from its decoded parts.
///
///     request_target Target;
///     Target.segment("objects").segment(Kind).parameter("after", Name);
///     Request.Target = Target.text();
class request_target {
public:
  /// \p Base precedes the first segment, such as "http://10.0.0.1:80".
  explicit request_target(std::string Base = {}) : Text(std::move(Base)) {}

  /// Adds a path segment. Call it before parameter().
  request_target &segment(std::string_view Segment);
  /// Adds a parameter of the query.
  request_target &parameter(std::string_view Name, std::string_view Value);

  const std::string &text() const { return Text; }

private:
  std::string Text;
  bool HasQuery = false;
};

} // namespace turmerichead
