/// \file
/// Reading files, for the commands that take some.
#pragma once

#include <optional>
#include <string>

namespace turmerichead::ctl {

/// The whole file; fails with NotFound.
std::optional<std::string> readFile(const std::string &Path);

} // namespace turmerichead::ctl
