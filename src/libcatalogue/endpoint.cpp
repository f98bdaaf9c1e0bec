#include "turmerichead/endpoint.h"

#include "turmerichead/error.h"
#include "turmerichead/handle.h"

#include <gio/gio.h>

#include <charconv>

namespace turmerichead {

std::optional<ip_endpoint> ip_endpoint::parse(std::string_view Text) {
  const auto Wrong = [Text] {
    return fail(error_code::InvalidInput,
                "'" + std::string(Text) +
                    "' is not an IP number and port, such as 10.0.0.5:8080");
  };
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return Wrong();
  std::string Ip(Text.substr(0, Colon));
  bool Bracketed = Ip.front() == '[' && Ip.back() == ']';
  if (Bracketed)
    Ip = Ip.substr(1, Ip.size() - 2);
  auto Address =
      handle<GInetAddress>::adopt(g_inet_address_new_from_string(Ip.c_str()));
  if (!Address)
    return Wrong();
  bool IsV6 = g_inet_address_get_family(Address.get()) == G_SOCKET_FAMILY_IPV6;
  if (IsV6 != Bracketed)
    return Wrong();

  std::string_view PortText = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const char *End = PortText.data() + PortText.size();
  auto [Rest, Error] = std::from_chars(PortText.data(), End, Port);
  if (Error != std::errc() || Rest != End || Port == 0)
    return Wrong();
  return ip_endpoint{std::move(Ip), Port};
}

std::string ip_endpoint::toText() const {
  if (Ip.empty())
    return "";
  bool IsV6 = Ip.find(':') != std::string::npos;
  std::string Shown = IsV6 ? '[' + Ip + ']' : Ip;
  return Shown + ':' + std::to_string(Port);
}

} // namespace turmerichead
