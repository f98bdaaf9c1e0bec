/// \file
/// Limits how many calls of an http_client are open at once.
#pragma once

#include "turmerichead/net_http.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::pvt {

/// Counts the open calls of each address, and queues those above the limits in
/// the order of their arrival. An open call takes one connection.
class call_slots {
public:
  call_slots(std::size_t MaxPerAddress, std::size_t MaxTotal)
      : MaxPerAddress(MaxPerAddress), MaxTotal(MaxTotal) {}

  /// Takes a slot for \p Id. Returns false if it was queued instead.
  bool take(const std::string &Address, http_call_id Id);

  /// Removes a queued call.
  void drop(std::string_view Address, http_call_id Id);

  /// Returns the slot of a call that has ended. Returns the queued calls that
  /// have a slot now.
  std::vector<http_call_id> release(std::string_view Address);

private:
  struct address_row {
    std::size_t Open = 0;
    std::deque<http_call_id> Queue;
  };

  bool hasFree(const address_row &Row) const {
    return Row.Open < MaxPerAddress && Open < MaxTotal;
  }
  void takeQueued(address_row &Row, std::vector<http_call_id> &Started);
  void eraseIfUnused(std::string_view Address);

  std::size_t MaxPerAddress;
  std::size_t MaxTotal;
  std::size_t Open = 0;
  std::map<std::string, address_row, std::less<>> Addresses;
};

} // namespace turmerichead::pvt
