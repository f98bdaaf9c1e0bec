#include "tunnel_pvt.h"

#include "turmerichead/hash.h"

#include <algorithm>

namespace turmerichead::http1::pvt {

namespace {

constexpr std::string_view LineStart = "TUNNEL ";
constexpr std::size_t FrameLengthBytes = 4;
constexpr unsigned BitsPerByte = 8;
constexpr unsigned ByteMask = 0xffU;

bool isStatus(char Byte) {
  return std::string_view("CRUD").find(Byte) != std::string_view::npos;
}

} // namespace

std::string tunnelLine(std::string_view Address, std::string_view SharedKey) {
  std::string Line(LineStart);
  Line.append(Address).append(" ").append(hmacSha256(SharedKey, Address));
  return Line + "\n";
}

std::optional<std::string> readTunnelLine(std::string_view Line,
                                          std::string_view SharedKey) {
  if (!Line.starts_with(LineStart))
    return std::nullopt;
  Line.remove_prefix(LineStart.size());
  std::size_t Space = Line.find(' ');
  if (Space == std::string_view::npos)
    return std::nullopt;
  std::string_view Address = Line.substr(0, Space);
  std::string_view Proof = Line.substr(Space + 1);
  if (!equalConstantTime(Proof, hmacSha256(SharedKey, Address)))
    return std::nullopt;
  return std::string(Address);
}

std::string tunnelFrame(std::string_view Bytes) {
  std::string Frame;
  for (std::size_t I = FrameLengthBytes; I-- > 0;)
    Frame += static_cast<char>((Bytes.size() >> (I * BitsPerByte)) & ByteMask);
  return Frame.append(Bytes);
}

bool tunnel_decoder::feed(std::string_view Bytes, std::string &Output) {
  while (!Bytes.empty()) {
    if (Ended)
      return false;
    if (!Status) {
      if (!isStatus(Bytes.front()))
        return false;
      Status = static_cast<tunnel_status>(Bytes.front());
      Bytes.remove_prefix(1);
      continue;
    }
    if (Left > 0) {
      std::size_t Count = std::min(Left, Bytes.size());
      Output.append(Bytes.substr(0, Count));
      Bytes.remove_prefix(Count);
      Left -= Count;
      continue;
    }
    Length =
        (Length << BitsPerByte) | static_cast<unsigned char>(Bytes.front());
    Bytes.remove_prefix(1);
    if (++LengthBytes < FrameLengthBytes)
      continue;
    Left = Length;
    Ended = Left == 0;
    Length = 0;
    LengthBytes = 0;
  }
  return true;
}

} // namespace turmerichead::http1::pvt
