#include "parser_pvt.h"

namespace turmerichead::http1::pvt {

namespace {

// Bytes of a field line in addition to name and value: colon, space, CR, LF.
constexpr std::size_t LineOverheadBytes = 4;
constexpr std::size_t LineEndBytes = 2;
// A longer buffer is freed, as many idle connections would hold one each.
constexpr std::size_t KeptLineBytes = 512;
constexpr int FirstFinalStatus = 200;
constexpr int SwitchingProtocols = 101;

bool allowsBody(int Status) {
  return Status >= FirstFinalStatus && Status != status::NoContent &&
         Status != status::NotModified;
}

} // namespace

void message_parser::restart() {
  Head = {};
  if (Line.capacity() > KeptLineBytes)
    Line = {};
  Line.clear();
  Part = part::StartLine;
  Fault = message_fault::None;
  Method.clear();
  Status = 0;
  IsHttp10 = false;
  KeepsAlive = false;
  InMessage = false;
  HeadDone = false;
  Framing = {};
  BytesLeft = 0;
}

void message_parser::fail(message_fault Why) {
  Part = part::Failed;
  Fault = Why;
}

// Appends bytes up to the end of the current line and returns their number.
std::size_t message_parser::takeLinePart(std::string_view Bytes,
                                         bool &IsWhole) {
  std::size_t End = Bytes.find('\n');
  bool HasEnd = End != std::string_view::npos;
  std::size_t Count = HasEnd ? End + 1 : Bytes.size();
  Line.append(Bytes.substr(0, Count));
  bool IsInHead = Part == part::StartLine || Part == part::Fields;
  std::size_t Earlier = IsInHead ? Head.Bytes : 0;
  if (Earlier + Line.size() > MaxHeadBytes + LineEndBytes) {
    fail(message_fault::HeadTooLarge);
    return Count;
  }
  // The end of a line before a request does not begin one.
  InMessage = InMessage || (Line != "\r" && Line != "\r\n") ||
              Kind == message_kind::Response;
  IsWhole = HasEnd;
  return Count;
}

void message_parser::takeLine(std::string_view Text) {
  if (!Text.ends_with("\r\n")) {
    fail(message_fault::LineEnd);
    return;
  }
  Text.remove_suffix(LineEndBytes);
  switch (Part) {
  case part::StartLine:
    takeStartLine(Text);
    break;
  case part::Fields:
    takeField(Text);
    break;
  case part::ChunkLine:
    takeChunkLine(Text);
    break;
  case part::ChunkEnd:
    Part = part::ChunkLine;
    if (!Text.empty())
      fail(message_fault::ChunkEnd);
    break;
  case part::Trailers:
    takeTrailer(Text);
    break;
  case part::Body:
  case part::ChunkBytes:
  case part::End:
  case part::Failed:
    break;
  }
}

void message_parser::takeStartLine(std::string_view Text) {
  Part = part::Fields;
  if (Kind == message_kind::Response) {
    auto Read = readStatusLine(Text);
    if (!Read || Read->Status == SwitchingProtocols) {
      fail(message_fault::StartLine);
      return;
    }
    Status = Read->Status;
    IsHttp10 = Read->IsHttp10;
    return;
  }
  if (Text.empty()) {
    // RFC 9112, 2.2: servers ignore empty lines before a request.
    Part = part::StartLine;
    Head.Bytes += LineEndBytes;
    return;
  }
  auto Read = readRequestLine(Text);
  if (!Read) {
    fail(message_fault::StartLine);
    return;
  }
  Method = std::move(Read->Method);
  Head.Target = std::move(Read->Target);
  Head.Bytes += Head.Target.size();
  IsHttp10 = Read->IsHttp10;
}

void message_parser::takeField(std::string_view Text) {
  if (Text.empty()) {
    endHead();
    return;
  }
  auto Field = readFieldLine(Text);
  if (!Field) {
    fail(message_fault::Field);
    return;
  }
  Head.Headers.add(Field->Name, Field->Value);
  Head.Bytes +=
      std::max(Field->Name.size() + Field->Value.size() + LineOverheadBytes,
               Text.size() + LineEndBytes);
  if (Head.Bytes > MaxHeadBytes)
    fail(message_fault::HeadTooLarge);
}

void message_parser::endHead() {
  Framing = readFraming(Head.Headers, IsHttp10);
  if (Framing.Fault != message_fault::None) {
    fail(Framing.Fault);
    return;
  }
  bool IsResponse = Kind == message_kind::Response;
  if (IsResponse && (NoBody || !allowsBody(Status)))
    Framing.Body = body_framing::None;
  else if (IsResponse && Framing.Body == body_framing::None)
    Framing.Body = body_framing::UntilEnd;
  KeepsAlive = allowsReuse(Head.Headers, IsHttp10) &&
               Framing.Body != body_framing::UntilEnd;
  HeadDone = true;
  Part = part::Body;
  switch (Framing.Body) {
  case body_framing::None:
    break;
  case body_framing::Length:
    BytesLeft = *Framing.Length;
    break;
  case body_framing::Chunked:
    Part = part::ChunkLine;
    break;
  case body_framing::UntilEnd:
    BytesLeft = std::numeric_limits<std::uint64_t>::max();
    break;
  }
  if (Part == part::Body)
    endBytes();
}

// Ends the body or a chunk whose last byte has been read.
void message_parser::endBytes() {
  if (BytesLeft == 0)
    Part = Part == part::Body ? part::End : part::ChunkEnd;
}

void message_parser::takeChunkLine(std::string_view Text) {
  auto Size = readChunkLine(Text);
  if (!Size) {
    fail(message_fault::ChunkLine);
    return;
  }
  BytesLeft = *Size;
  Part = BytesLeft == 0 ? part::Trailers : part::ChunkBytes;
}

void message_parser::takeTrailer(std::string_view Text) {
  if (Text.empty()) {
    Part = part::End;
    return;
  }
  if (!readFieldLine(Text))
    fail(message_fault::Trailer);
}

} // namespace turmerichead::http1::pvt
