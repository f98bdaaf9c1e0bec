/// \file
/// Translates requests of http_client for http1::client.
#pragma once

#include "turmerichead/http1_client.h"
#include "turmerichead/net_http.h"

#include <optional>

namespace turmerichead::pvt {

/// Returns \p Request as a call of http1::client. Fails with InvalidInput if
/// the URL is not "http://ip:port/path?query", or if the method or a header
/// holds a byte that HTTP does not allow there.
std::optional<http1::call_request> toCallRequest(const http_request &Request);

} // namespace turmerichead::pvt
