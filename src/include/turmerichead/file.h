/// \file
/// Small files that are read and written whole.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace turmerichead {

/// The bytes of the file at \p Path. Fails with NotFound or Unavailable.
std::optional<std::string> readWholeFile(const std::string &Path);

/// Puts \p Bytes in the place of the file at \p Path. Once it returns true
/// they outlast a loss of power; at no time is there a part of them. Waits
/// for the disk. Fails with Unavailable.
bool replaceFile(const std::string &Path, std::string_view Bytes);

/// Syncs the names in a folder. Fails with Unavailable.
bool syncFolder(const std::string &Folder);

} // namespace turmerichead
