#include "turmerichead/state_records.h"

#include "turmerichead/error.h"

#include <array>
#include <span>
#include <utility>

namespace turmerichead {

namespace {

constexpr std::size_t MaxDepth = 8;
constexpr std::size_t MaxItems = std::size_t{1} << 16;

using unpack_limit = msgpack::unpack_limit;

// Lengths are limited to the length of the input, so that a short input can't
// cause a large allocation.
unpack_limit limitFor(std::string_view Bytes) {
  return {MaxItems, MaxItems, Bytes.size(), Bytes.size(), 0, MaxDepth};
}

template <std::size_t Index>
bool decodeAs(const msgpack::object &Content, std::size_t Kind, record &Out) {
  if constexpr (Index < std::variant_size_v<record>) {
    if (Kind != Index)
      return decodeAs<Index + 1>(Content, Kind, Out);
    Content.convert(Out.emplace<Index>());
    return true;
  }
  return false;
}

// A decoded enumerator may be out of range.
std::string_view nameAt(std::span<const std::string_view> Names,
                        std::size_t Index) {
  return Index < Names.size() ? Names[Index] : "invalid";
}

} // namespace

std::string_view nameOf(call_kind Kind) {
  return Kind == call_kind::Model ? "model" : "service";
}

std::string_view nameOf(call_outcome Outcome) {
  constexpr std::array<std::string_view, 4> Names = {"answered", "not_run",
                                                     "failed", "unknown"};
  return nameAt(Names, static_cast<std::size_t>(Outcome));
}

std::string_view nameOf(end_reason Reason) {
  constexpr std::array<std::string_view, 7> Names = {
      "none",       "ended",           "budget_spent",   "turn_limit",
      "tool_limit", "sub_agent_limit", "wall_time_limit"};
  return nameAt(Names, static_cast<std::size_t>(Reason));
}

std::string encodeRecord(const record &Record) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(2);
  Packer.pack(static_cast<std::uint32_t>(Record.index()));
  std::visit([&](const auto &Content) { Packer.pack(Content); }, Record);
  return {Buffer.data(), Buffer.size()};
}

std::optional<record> decodeRecord(std::string_view Bytes) {
  if (Bytes.size() > MaxRecordBytes)
    return fail(error_code::Corrupt, "record is too long");
  try {
    std::size_t Offset = 0;
    auto Handle = msgpack::unpack(Bytes.data(), Bytes.size(), Offset, nullptr,
                                  nullptr, limitFor(Bytes));
    const msgpack::object &Top = Handle.get();
    if (Offset != Bytes.size() || Top.type != msgpack::type::ARRAY ||
        Top.via.array.size != 2)
      return fail(error_code::Corrupt, "not a record");
    record Out;
    auto Kind = Top.via.array.ptr[0].as<std::uint32_t>();
    if (!decodeAs<0>(Top.via.array.ptr[1], Kind, Out))
      return fail(error_code::Corrupt, "unknown kind of record");
    return Out;
  } catch (const std::exception &Reason) {
    return fail(error_code::Corrupt, std::string("record: ") + Reason.what());
  }
}

std::string_view programOf(const record &Record) {
  return std::visit(
      [](const auto &Content) -> std::string_view {
        if constexpr (requires { Content.Program; })
          return Content.Program;
        else if constexpr (requires { Content.Root; })
          return Content.Root;
        else
          return {};
      },
      Record);
}

std::string_view rootOf(std::string_view Program) {
  return Program.substr(0, Program.find('/'));
}

} // namespace turmerichead
