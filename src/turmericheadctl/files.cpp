#include "files.h"

#include "turmerichead/error.h"

#include <fstream>
#include <iterator>

namespace turmerichead::ctl {

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  if (!Stream)
    return fail(error_code::NotFound, Path + " cannot be read");
  return std::string{std::istreambuf_iterator<char>(Stream), {}};
}

} // namespace turmerichead::ctl
