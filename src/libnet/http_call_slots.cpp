#include "http_call_slots_pvt.h"

namespace turmerichead::pvt {

bool call_slots::take(const std::string &Address, http_call_id Id) {
  address_row &Row = Addresses[Address];
  if (!hasFree(Row)) {
    Row.Queue.push_back(Id);
    return false;
  }
  ++Row.Open;
  ++Open;
  return true;
}

void call_slots::drop(std::string_view Address, http_call_id Id) {
  auto Found = Addresses.find(Address);
  if (Found == Addresses.end())
    return;
  std::erase(Found->second.Queue, Id);
  eraseIfUnused(Address);
}

std::vector<http_call_id> call_slots::release(std::string_view Address) {
  std::vector<http_call_id> Started;
  auto Found = Addresses.find(Address);
  if (Found == Addresses.end())
    return Started;
  bool WasFull = Open >= MaxTotal;
  --Found->second.Open;
  --Open;
  takeQueued(Found->second, Started);
  eraseIfUnused(Address);
  // Calls to other addresses may have been queued by the total alone.
  if (WasFull)
    for (auto &[Other, Row] : Addresses)
      takeQueued(Row, Started);
  return Started;
}

void call_slots::takeQueued(address_row &Row,
                            std::vector<http_call_id> &Started) {
  while (!Row.Queue.empty() && hasFree(Row)) {
    Started.push_back(Row.Queue.front());
    Row.Queue.pop_front();
    ++Row.Open;
    ++Open;
  }
}

void call_slots::eraseIfUnused(std::string_view Address) {
  auto Found = Addresses.find(Address);
  if (Found->second.Open == 0 && Found->second.Queue.empty())
    Addresses.erase(Found);
}

} // namespace turmerichead::pvt
