/// \file
/// Parses JSON that other writers may have contributed to.
#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace turmerichead {

/// Whether values in \p Text, which need not be JSON, are nested so deeply that
/// a copy or dump of them may need more stack than there is.
bool isNestedTooDeeply(std::string_view Text);

/// Parses \p Text. One odd value leaves the rest readable: a string that is not
/// valid becomes empty; a number that is too large, an unknown literal or a
/// value that is nested too deeply to be copied safely becomes null. The result
/// is discarded (nlohmann) if \p Text is no JSON apart from such values.
nlohmann::json parseLenient(std::string_view Text);

} // namespace turmerichead
