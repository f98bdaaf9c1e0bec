/// \file
/// A table whose rows are identified by typed ids.
#pragma once

#include "turmerichead/id.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace turmerichead {

/// Owns rows of type \p Row and assigns ids to them. Erasing a row makes its id
/// stale; find() then returns nullptr. A pointer from find() is valid
/// until the next insert or erase.
///
///     table<call_row> Calls;
///     auto Id = Calls.insert({...});
///     if (call_row *Call = Calls.find(Id))
///       Call->State = call_state::Done;
template <typename Row> class table {
public:
  using id = typed_id<Row>;

  id insert(Row Value) {
    if (Free.empty()) {
      Slots.push_back({std::optional<Row>(std::move(Value)), 1});
      ++Live;
      return {static_cast<std::uint32_t>(Slots.size() - 1), 1};
    }
    std::uint32_t Index = Free.back();
    Free.pop_back();
    slot &Slot = Slots[Index];
    Slot.Value.emplace(std::move(Value));
    ++Live;
    return {Index, Slot.Generation};
  }

  Row *find(id Id) { return const_cast<Row *>(std::as_const(*this).find(Id)); }

  const Row *find(id Id) const {
    if (Id.Index >= Slots.size())
      return nullptr;
    const slot &Slot = Slots[Id.Index];
    if (Slot.Generation != Id.Generation || !Slot.Value)
      return nullptr;
    return &*Slot.Value;
  }

  /// Erases the row; returns false if the id is stale.
  bool erase(id Id) {
    if (!find(Id))
      return false;
    slot &Slot = Slots[Id.Index];
    Slot.Value.reset();
    ++Slot.Generation;
    Free.push_back(Id.Index);
    --Live;
    return true;
  }

  std::size_t size() const { return Live; }
  bool empty() const { return Live == 0; }

  /// Calls \p Visit(id, row) for each row, by ascending index. \p Visit may
  /// erase this row and no other.
  template <typename Visitor> void forEach(Visitor &&Visit) {
    for (std::size_t I = 0; I < Slots.size(); ++I)
      if (Slots[I].Value)
        Visit(id{static_cast<std::uint32_t>(I), Slots[I].Generation},
              *Slots[I].Value);
  }
  template <typename Visitor> void forEach(Visitor &&Visit) const {
    for (std::size_t I = 0; I < Slots.size(); ++I)
      if (Slots[I].Value)
        Visit(id{static_cast<std::uint32_t>(I), Slots[I].Generation},
              *Slots[I].Value);
  }

private:
  struct slot {
    std::optional<Row> Value;
    std::uint32_t Generation;
  };
  std::vector<slot> Slots;
  std::vector<std::uint32_t> Free;
  std::size_t Live = 0;
};

} // namespace turmerichead
