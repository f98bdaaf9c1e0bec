/// \file
/// Stand-in for a network between two processes: one TCP relay. On its control
/// port `POST /control` takes any of {"cut": "none"|"both"|"forward"|
/// "backward", "close": bool, "delay_ms": N}.

#include "http_server.h"
#include "tcp_link.h"

#include "turmerichead/error.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 0, "Port of the relay; 0 lets the system choose");
DEFINE_uint32(control_port, 0, "Port of the control API");
DEFINE_string(target, "127.0.0.1", "IP number of the target");
DEFINE_uint32(target_port, 0, "Port of the target");

namespace {

using namespace turmerichead;

void onControl(standin::tcp_link &Link, const standin::exchange &Call) {
  const nlohmann::json Order = Call.json();
  if (!Order.is_object())
    return Call.reply(400, {{"error", "not a JSON object"}});
  if (Order.contains("cut")) {
    const std::string Cut = Order.value("cut", std::string());
    Link.setCuts(Cut == "both" || Cut == "forward",
                 Cut == "both" || Cut == "backward");
  }
  if (Order.contains("delay_ms"))
    Link.setDelay(Order.value("delay_ms", std::int64_t{0}));
  if (Order.value("close", false))
    Link.closeAll();
  Call.reply(200, {{"ok", true}, {"connections", Link.connections()}});
}

std::uint16_t portFrom(std::uint32_t Flag) {
  return static_cast<std::uint16_t>(Flag);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("TCP relay that can be cut");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  auto Link =
      standin::tcp_link::create({FLAGS_address, portFrom(FLAGS_port),
                                 FLAGS_target, portFrom(FLAGS_target_port)});
  if (!Link) {
    std::cerr << "standin_link: " << lastError().Text << "\n";
    return 1;
  }
  auto Control = standin::http_server::create(
      FLAGS_address, portFrom(FLAGS_control_port),
      [&Link](const standin::exchange &Call) { onControl(*Link, Call); });
  if (!Control) {
    std::cerr << "standin_link: " << lastError().Text << "\n";
    return 1;
  }
  std::cout << "control " << Control->port() << std::endl;
  return standin::runUntilStopped(Link->port());
}
