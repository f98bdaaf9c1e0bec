/// \file
/// Copies a program's cache from one runner to another.
#pragma once

#include "context_pvt.h"

#include <functional>
#include <string>

namespace turmerichead::host_pvt {

/// Exports the cache of \p Program at \p From, imports it at \p To, releases it
/// at \p From and calls \p Done. A failure is not reported: it only costs a
/// prefill.
void moveCache(host_context &Context, const std::string &Program,
               const std::string &From, const std::string &To,
               const std::function<void()> &Done);

/// Requests a runner to release the cache of \p Program, with the version of
/// the shard map as fencing token.
void releaseCacheAt(host_context &Context, const std::string &Program,
                    const std::string &Runner);

} // namespace turmerichead::host_pvt
