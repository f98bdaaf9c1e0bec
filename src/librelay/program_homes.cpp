#include "turmerichead/relay_program_homes.h"

#include <utility>

namespace turmerichead::relay {

void program_homes::record(std::string_view Program,
                           std::string_view Upstream) {
  Recent.insert_or_assign(std::string(Program), std::string(Upstream));
  if (Recent.size() >= MinPrograms)
    Older = std::exchange(Recent, {});
}

std::string program_homes::find(std::string_view Program) const {
  std::string Key(Program);
  if (auto Row = Recent.find(Key); Row != Recent.end())
    return Row->second;
  auto Row = Older.find(Key);
  return Row == Older.end() ? std::string() : Row->second;
}

} // namespace turmerichead::relay
