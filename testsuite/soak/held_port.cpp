#include "held_port.h"

#include "turmerichead/error.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <utility>

namespace turmerichead::soak {

namespace {

sockaddr *generic(sockaddr_in &Address) {
  return reinterpret_cast<sockaddr *>(&Address);
}

sockaddr_in parse(const std::string &Text) {
  std::size_t Colon = Text.find(':');
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(
      static_cast<std::uint16_t>(std::atoi(Text.substr(Colon + 1).c_str())));
  inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Address.sin_addr);
  return Address;
}

} // namespace

std::optional<held_port> held_port::create(const std::string &Text) {
  held_port Held(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0),
                 socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in Target{};
  Target.sin_family = AF_INET;
  Target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Target);
  sockaddr_in Own = parse(Text);
  int Yes = 1;
  bool Open = bind(Held.Listener, generic(Target), Size) == 0 &&
              listen(Held.Listener, 1) == 0 &&
              getsockname(Held.Listener, generic(Target), &Size) == 0 &&
              setsockopt(Held.Socket, SOL_SOCKET, SO_REUSEADDR, &Yes,
                         sizeof(Yes)) == 0 &&
              bind(Held.Socket, generic(Own), sizeof(Own)) == 0 &&
              connect(Held.Socket, generic(Target), Size) == 0;
  if (!Open)
    return fail(error_code::Unavailable, Text + ": cannot connect from there");
  return Held;
}

held_port::held_port(held_port &&Other) noexcept
    : Listener(std::exchange(Other.Listener, -1)),
      Socket(std::exchange(Other.Socket, -1)) {}

held_port::~held_port() {
  for (int Descriptor : {Listener, Socket})
    if (Descriptor >= 0)
      close(Descriptor);
}

} // namespace turmerichead::soak
