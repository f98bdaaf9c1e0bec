/// \file
/// Reads and writes small files as a whole.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace turmerichead {

/// Returns the content of the file at \p Path. Fails with NotFound or
/// Unavailable.
std::optional<std::string> readWholeFile(const std::string &Path);

/// Atomically replaces the content of the file at \p Path. The content is
/// durable once the function returns true. Blocks until it is synced. Fails
/// with Unavailable.
bool replaceFile(const std::string &Path, std::string_view Bytes);

/// Syncs a folder, which makes created, renamed and removed names durable.
/// Fails with Unavailable.
bool syncFolder(const std::string &Folder);

} // namespace turmerichead
