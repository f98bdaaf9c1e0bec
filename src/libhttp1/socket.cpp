#include "socket_pvt.h"

#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <utility>

namespace turmerichead::http1::pvt {

namespace {

constexpr std::size_t ReadBytes = 65536;
// Small pieces are joined, so that the head and body of a short message are
// sent in one segment.
constexpr std::size_t JoinBelowBytes = 4096;
constexpr std::size_t MaxVectors = 16;

bool wouldBlock(int Code) { return Code == EAGAIN || Code == EWOULDBLOCK; }

} // namespace

io_result buffered_socket::read(std::string &Input) {
  static std::array<char, ReadBytes> Buffer;
  ssize_t Count = recv(descriptor(), Buffer.data(), Buffer.size(), 0);
  if (Count > 0) {
    Input.append(Buffer.data(), static_cast<std::size_t>(Count));
    return io_result::Done;
  }
  if (Count == 0)
    return io_result::Ended;
  if (wouldBlock(errno) || errno == EINTR)
    return io_result::Blocked;
  return io_result::Failed;
}

void buffered_socket::queue(std::string Bytes) {
  if (Bytes.empty())
    return;
  Unsent += Bytes.size();
  if (!Output.empty() && Output.back().size() + Bytes.size() < JoinBelowBytes) {
    Output.back() += Bytes;
    return;
  }
  Output.push_back(std::move(Bytes));
}

io_result buffered_socket::flush() {
  while (Unsent > 0) {
    std::array<iovec, MaxVectors> Vectors{};
    std::size_t Count = 0;
    std::size_t Offset = FrontOffset;
    for (std::string &Piece : Output) {
      if (Count == MaxVectors)
        break;
      Vectors.at(Count++) = {Piece.data() + Offset, Piece.size() - Offset};
      Offset = 0;
    }
    msghdr Message{};
    Message.msg_iov = Vectors.data();
    Message.msg_iovlen = Count;
    ssize_t Written = sendmsg(descriptor(), &Message, MSG_NOSIGNAL);
    if (Written < 0) {
      if (wouldBlock(errno) || errno == EINTR)
        return io_result::Blocked;
      WriteFailed = true;
      return io_result::Failed;
    }
    auto Left = static_cast<std::size_t>(Written);
    Unsent -= Left;
    Sent += Left;
    while (Left > 0) {
      std::size_t Rest = Output.front().size() - FrontOffset;
      if (Left < Rest) {
        FrontOffset += Left;
        break;
      }
      Left -= Rest;
      FrontOffset = 0;
      Output.pop_front();
    }
  }
  return io_result::Done;
}

bool buffered_socket::isDelivered() const {
  int InKernel = 0;
  return !WriteFailed && Unsent == 0 &&
         ioctl(descriptor(), SIOCOUTQ, &InKernel) == 0 && InKernel == 0;
}

bool buffered_socket::hasInput() const {
  int Waiting = 0;
  return ioctl(descriptor(), FIONREAD, &Waiting) != 0 || Waiting > 0;
}

buffered_socket::connect_result buffered_socket::connectResult() const {
  GError *Reason = nullptr;
  if (g_socket_check_connect_result(Socket.get(), &Reason))
    return connect_result::Connected;
  bool Refused =
      g_error_matches(Reason, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
  g_error_free(Reason);
  return Refused ? connect_result::Refused : connect_result::Failed;
}

void buffered_socket::shutdownWrite() {
  g_socket_shutdown(Socket.get(), FALSE, TRUE, nullptr);
}

void buffered_socket::resetOnClose() {
  linger Hard{1, 0};
  setsockopt(descriptor(), SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
}

void buffered_socket::close() {
  if (!Socket)
    return;
  g_socket_close(Socket.get(), nullptr);
  Socket.reset();
}

} // namespace turmerichead::http1::pvt
