#include "client_pvt.h"

#include <sys/socket.h>

namespace turmerichead::http1 {

using namespace pvt;

std::string pvt::poolKey(const std::string &Address, const std::string &Via) {
  return Via.empty() ? Address : Address + std::string(ViaSeparator) + Via;
}

std::optional<client_connection_id>
client::state::takeIdle(std::string_view Address) {
  // Closing the last connection of a pool removes the pool.
  for (auto Pool = Idle.find(Address);
       Pool != Idle.end() && !Pool->second.empty(); Pool = Idle.find(Address)) {
    client_connection_id Id = Pool->second.back();
    Pool->second.pop_back();
    client_connection *Row = Connections.find(Id);
    if (!Row)
      continue;
    char Byte = 0;
    ssize_t Count = recv(Row->Socket.descriptor(), &Byte, 1, MSG_PEEK);
    bool Quiet = Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (Quiet && steadyNow() - Row->IdleSince < Row->IdleLimit)
      return Id;
    close(Id);
  }
  return std::nullopt;
}

// Closes the connection instead if its pool is full.
void client::state::returnToPool(client_connection_id Id,
                                 client_connection &Row) {
  auto Pool = Idle.find(Row.Address);
  if ((Pool == Idle.end() ? 0 : Pool->second.size()) >= Row.MaxIdle) {
    close(Id);
    return;
  }
  Row.Phase = client_phase::Idle;
  Row.Call = {};
  Row.IdleSince = steadyNow();
  updateInterest(Id, Row);
  Idle[Row.Address].push_back(Id);
}

void client::state::close(client_connection_id Id) {
  client_connection *Row = Connections.find(Id);
  Sockets->remove(Row->Socket.descriptor());
  if (Row->Phase == client_phase::Idle) {
    auto Pool = Idle.find(Row->Address);
    if (Pool != Idle.end()) {
      std::erase(Pool->second, Id);
      if (Pool->second.empty())
        Idle.erase(Pool);
    }
  }
  Connections.erase(Id);
}

void client::state::sweep() {
  time_point Now = steadyNow();
  std::vector<client_connection_id> Old;
  Connections.forEach([&](client_connection_id Id, client_connection &Row) {
    if (Row.Phase == client_phase::Idle && Now - Row.IdleSince >= Row.IdleLimit)
      Old.push_back(Id);
  });
  for (client_connection_id Id : Old)
    close(Id);
}

void client::forget(std::string_view Address) {
  forgetDirect(Address);
  std::string Start = std::string(Address) + std::string(ViaSeparator);
  std::vector<client_connection_id> Ids;
  for (auto Pool = State->Idle.lower_bound(Start);
       Pool != State->Idle.end() && Pool->first.starts_with(Start); ++Pool)
    Ids.insert(Ids.end(), Pool->second.begin(), Pool->second.end());
  for (client_connection_id Id : Ids)
    State->close(Id);
}

void client::forgetDirect(std::string_view Address) {
  auto Pool = State->Idle.find(Address);
  if (Pool == State->Idle.end())
    return;
  std::vector<client_connection_id> Ids = Pool->second;
  for (client_connection_id Id : Ids)
    State->close(Id);
}

} // namespace turmerichead::http1
