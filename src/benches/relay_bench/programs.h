/// \file
/// Programs that run one after the other's turn: a turn, some tool calls, the
/// next turn, until each has run all of its turns.
#pragma once

#include "turmerichead/http1_client.h"
#include "turmerichead/net_loop.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace turmerichead::bench {

struct program_settings {
  std::string Address; ///< That all calls go to.
  int Programs = 0;
  int Turns = 0;
  int ToolsPerTurn = 0;
  std::size_t PromptBytes = 0; ///< New in each turn.
  milliseconds Think{0};       ///< Between two calls of a program.
};

class programs {
public:
  /// \p Done is called once all programs have ended.
  programs(program_settings Settings, std::function<void()> Done);
  /// Fails with Unavailable.
  bool start();

  std::uint64_t calls() const { return Calls; }
  std::uint64_t failed() const { return Failed; }

private:
  struct row {
    int TurnsLeft = 0;
    int ToolsLeft = 0;
    std::string LastTurn;
  };
  void next(std::uint64_t Index);
  void turn(std::uint64_t Index);
  void tool(std::uint64_t Index);
  void send(std::uint64_t Index, http1::call_request Request);
  void onEnd(std::uint64_t Index, const http1::call_result &Result);

  program_settings Settings;
  std::function<void()> Done;
  std::optional<http1::client> Client;
  std::vector<row> Rows;
  std::size_t Open = 0;
  std::uint64_t Calls = 0;
  std::uint64_t Failed = 0;
  deadline_queue Due;
};

} // namespace turmerichead::bench
