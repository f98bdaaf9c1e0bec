/// \file
/// Copies a program's cache from one runner to another.
#pragma once

#include "context_pvt.h"

#include <functional>
#include <string>

namespace turmerichead::host_pvt {

/// Exports the cache of \p Program at \p From, imports it at \p To and
/// releases it at \p From, then calls \p Done. A move that fails costs a
/// prefill and nothing else, so \p Done isn't told how it ended.
void moveCache(host_context &Context, const std::string &Program,
               const std::string &From, const std::string &To,
               const std::function<void()> &Done);

/// Orders a runner to release the cache of \p Program, with the shard map's
/// version as fencing token.
void releaseCacheAt(host_context &Context, const std::string &Program,
                    const std::string &Runner);

} // namespace turmerichead::host_pvt
