/// \file
/// An upstream of a fleet that answers each request with given bytes, and a
/// caller that keeps the bytes that it receives. Both use plain sockets, so
/// that nothing of the code under test reads or writes the messages.
#pragma once

#include "fleet.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::fleet_harness {

/// What a scripted_upstream does once it has the head of a request.
struct answer_script {
  /// Sent as they are, with AttemptPlaceholder replaced by the attempt's id.
  std::string Bytes;
  milliseconds CloseAfter{50};
  /// Ends its direction in order, and closes after the same time again.
  bool ShutsDownFirst = false;
  int ReceiveBufferBytes = 0; ///< 0: the system's.
  bool ReadsBody = true;      ///< Whether it reads on after its answer.
};

inline constexpr std::string_view AttemptPlaceholder = "$ATTEMPT";

/// Registered in the store of the fleet from its start to its end.
class scripted_upstream {
public:
  scripted_upstream(fleet &Fleet, std::string Service, answer_script Script);
  ~scripted_upstream();
  scripted_upstream(const scripted_upstream &) = delete;
  scripted_upstream &operator=(const scripted_upstream &) = delete;

  std::size_t requests() const { return Requests; }

private:
  struct connection {
    handle<GSocket> Socket;
    loop_source Readable;
    loop_source Close;
    std::string Input;
    bool IsShutDown = false;
  };
  void adopt(handle<GSocket> Socket);
  bool read(connection &Row);
  void answer(connection &Row);
  bool end(connection &Row);

  fleet &Fleet;
  std::string Id;
  answer_script Script;
  listener Listener;
  loop_source Accepting;
  std::vector<std::unique_ptr<connection>> Connections;
  std::size_t Requests = 0;
};

/// A request as bytes, and what came back until the connection ended.
class raw_exchange {
public:
  raw_exchange(const std::string &Address, std::string Request);

  bool ended() const { return Ended; }
  const std::string &answer() const { return Answer; }
  /// Returns the status; 0 if there is no status line.
  int status() const;
  /// Returns what follows the head.
  std::string_view body() const;
  /// Whether the answer has its declared length or a last chunk.
  bool isWhole() const;

private:
  bool onReady();

  handle<GSocket> Socket;
  loop_source Ready;
  std::string Unsent;
  std::string Answer;
  bool Ended = false;
};

} // namespace turmerichead::fleet_harness
