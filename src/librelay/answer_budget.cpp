#include "turmerichead/relay_answer_budget.h"

#include <algorithm>

namespace turmerichead::relay {

void answer_budget::set(call_key Call, std::size_t Bytes) {
  auto Row = Held.find(Call);
  if (Row != Held.end())
    Total -= Row->second;
  Total += Bytes;
  if (Bytes > 0)
    Held[Call] = Bytes;
  else if (Row != Held.end())
    Held.erase(Row);
}

std::optional<answer_budget::call_key>
answer_budget::largestIfExceeded() const {
  if (Total <= Limit)
    return std::nullopt;
  auto Largest = std::max_element(Held.begin(), Held.end(),
                                  [](const auto &Left, const auto &Right) {
                                    return Left.second < Right.second;
                                  });
  return Largest->first;
}

} // namespace turmerichead::relay
