#include "hostile_crowd.h"

#include <arpa/inet.h>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <vector>

namespace turmerichead::fleet_harness {

namespace {

constexpr int StepMs = 2;
constexpr milliseconds SampleInterval{100};
// Small, so that what a client does not read stays with the server.
constexpr int ReceiveBuffer = 4096;

struct hostile_client {
  int Descriptor = -1;
  std::string Head;
  std::size_t Written = 0;
  std::size_t Read = 0;
  std::size_t Opens = 0;
  time_point NextWrite;
  time_point NextRead;
};

sockaddr_in socketAddressOf(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Result.sin_addr);
  Result.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  return Result;
}

class crowd {
public:
  explicit crowd(const client_plan &Plan)
      : Plan(Plan), Clients(Plan.Connections) {
    // A block of pieces, so that one step writes many of them.
    while (!Plan.Piece.empty() && Block.size() < (64U << 10U))
      Block += Plan.Piece;
  }

  crowd_counts run() {
    time_point End = steadyNow() + Plan.Duration;
    while (steadyNow() < End) {
      for (hostile_client &Client : Clients)
        step(Client);
      if (Plan.Sample && steadyNow() >= NextSample) {
        NextSample = steadyNow() + SampleInterval;
        Plan.Sample();
      }
      poll(nullptr, 0, StepMs);
    }
    for (hostile_client &Client : Clients)
      if (Client.Descriptor >= 0)
        close(Client.Descriptor);
    return Counts;
  }

private:
  void step(hostile_client &Client) {
    if (Client.Descriptor < 0 && Client.Opens <= Plan.Reopens)
      open(Client);
    time_point Now = steadyNow();
    if (Client.Descriptor >= 0 && Now >= Client.NextWrite) {
      Client.NextWrite = Now + Plan.WritePause;
      write(Client);
    }
    if (Client.Descriptor >= 0 && Now >= Client.NextRead) {
      Client.NextRead = Now + Plan.ReadPause;
      read(Client);
    }
    if (Client.Descriptor >= 0 && isClosed(Client))
      lose(Client);
  }

  void open(hostile_client &Client) {
    ++Client.Opens;
    Client.Head = Plan.Head;
    constexpr std::string_view Mark = "%id%";
    if (std::size_t At = Client.Head.find(Mark); At != std::string::npos)
      Client.Head.replace(At, Mark.size(), std::to_string(Counts.Opened));
    Client.Written = 0;
    Client.Read = 0;
    Client.Descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(Client.Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
               sizeof(ReceiveBuffer));
    sockaddr_in Address = socketAddressOf(Plan.Address);
    int Result =
        connect(Client.Descriptor, reinterpret_cast<sockaddr *>(&Address),
                sizeof(Address));
    if (Result != 0 && errno != EINPROGRESS) {
      lose(Client);
      return;
    }
    ++Counts.Opened;
  }

  void write(hostile_client &Client) {
    std::size_t Total = Client.Head.size() + Plan.Size;
    std::size_t Allowed = Plan.WriteBytes;
    while (Client.Written < Total && Allowed > 0) {
      std::string_view Bytes;
      if (Client.Written < Client.Head.size()) {
        Bytes = std::string_view(Client.Head).substr(Client.Written);
      } else {
        std::size_t Offset =
            (Client.Written - Client.Head.size()) % Block.size();
        Bytes = std::string_view(Block).substr(Offset);
      }
      Bytes = Bytes.substr(0, std::min(Allowed, Total - Client.Written));
      ssize_t Count =
          send(Client.Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Count <= 0) {
        if (errno != EAGAIN && errno != ENOTCONN)
          lose(Client);
        return;
      }
      auto Sent = static_cast<std::size_t>(Count);
      Client.Written += Sent;
      Counts.Written += Sent;
      Allowed -= Sent;
    }
  }

  void read(hostile_client &Client) {
    std::vector<char> Buffer(
        std::min(Plan.ReadBytes, Plan.ReadLimit - Client.Read));
    if (Buffer.empty())
      return;
    ssize_t Count = recv(Client.Descriptor, Buffer.data(), Buffer.size(), 0);
    if (Count <= 0)
      return;
    Client.Read += static_cast<std::size_t>(Count);
    Counts.Read += static_cast<std::size_t>(Count);
  }

  static bool isClosed(const hostile_client &Client) {
    pollfd Poll{Client.Descriptor, POLLRDHUP, 0};
    return poll(&Poll, 1, 0) > 0 &&
           (Poll.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0 &&
           (Poll.revents & POLLOUT) == 0;
  }

  void lose(hostile_client &Client) {
    close(Client.Descriptor);
    Client.Descriptor = -1;
    ++Counts.Closed;
  }

  const client_plan &Plan;
  std::string Block;
  std::vector<hostile_client> Clients;
  time_point NextSample;
  crowd_counts Counts;
};

} // namespace

crowd_counts runCrowd(const client_plan &Plan) { return crowd(Plan).run(); }

std::size_t peakMemoryOf(int Pid) {
  constexpr std::size_t BytesPerKb = 1024;
  std::ifstream File("/proc/" + std::to_string(Pid) + "/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with("VmHWM:"))
      return std::stoull(Line.substr(6)) * BytesPerKb;
  return 0;
}

std::size_t descriptorsOf(int Pid) {
  std::error_code Reason;
  std::filesystem::directory_iterator Folder(
      "/proc/" + std::to_string(Pid) + "/fd", Reason);
  std::size_t Count = 0;
  for (; !Reason && Folder != std::filesystem::directory_iterator();
       Folder.increment(Reason))
    ++Count;
  return Count;
}

} // namespace turmerichead::fleet_harness
