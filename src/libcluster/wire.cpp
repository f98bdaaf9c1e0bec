#include "turmerichead/cluster_config.h"
#include "turmerichead/cluster_detector.h"

#include "turmerichead/error.h"

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

#include <stdexcept>

namespace turmerichead {
namespace {

using packer = msgpack::packer<msgpack::sbuffer>;

constexpr std::size_t MaxSightingsRead = 1'024;
constexpr std::size_t MaxRows = 100'000;
constexpr std::size_t MaxTextBytes = 1'048'576;
constexpr std::size_t MaxDepth = 8;

std::string textOf(const msgpack::sbuffer &Buffer) {
  return {Buffer.data(), Buffer.size()};
}

msgpack::unpack_limit readLimit() {
  return {MaxRows, MaxRows, MaxTextBytes, MaxTextBytes, MaxTextBytes, MaxDepth};
}

/// Returns the elements of an array. Throws unless there are \p Count.
const msgpack::object *elements(const msgpack::object &Object,
                                std::uint32_t Count) {
  if (Object.type != msgpack::type::ARRAY || Object.via.array.size != Count)
    throw msgpack::type_error();
  return Object.via.array.ptr;
}

/// Decodes \p Bytes with \p Read. Exceptions of msgpack are caught here.
template <typename Result, typename Reader>
std::optional<Result> decode(std::string_view Bytes, Reader &&Read) {
  try {
    msgpack::object_handle Handle = msgpack::unpack(
        Bytes.data(), Bytes.size(), nullptr, nullptr, readLimit());
    return Read(Handle.get());
  } catch (const std::exception &) {
    return fail(error_code::Corrupt, "message of a peer does not decode");
  }
}

} // namespace

std::string encode(const heartbeat &Beat) {
  msgpack::sbuffer Buffer;
  packer Packer(Buffer);
  Packer.pack_array(7);
  Packer.pack(Beat.From);
  Packer.pack(Beat.Incarnation);
  Packer.pack(Beat.Sequence);
  Packer.pack(Beat.MapVersion);
  Packer.pack(Beat.Config.Complete);
  Packer.pack(Beat.Config.Root);
  Packer.pack_array(static_cast<std::uint32_t>(Beat.Sightings.size()));
  for (const peer_sighting &Row : Beat.Sightings) {
    Packer.pack_array(3);
    Packer.pack(Row.Host);
    Packer.pack(Row.Incarnation);
    Packer.pack(Row.AgeMs);
  }
  return textOf(Buffer);
}

std::optional<heartbeat> decodeHeartbeat(std::string_view Bytes) {
  return decode<heartbeat>(Bytes, [](const msgpack::object &Object) {
    const msgpack::object *Fields = elements(Object, 7);
    heartbeat Beat;
    Fields[0].convert(Beat.From);
    Fields[1].convert(Beat.Incarnation);
    Fields[2].convert(Beat.Sequence);
    Fields[3].convert(Beat.MapVersion);
    Fields[4].convert(Beat.Config.Complete);
    Fields[5].convert(Beat.Config.Root);
    if (Fields[6].type != msgpack::type::ARRAY ||
        Fields[6].via.array.size > MaxSightingsRead)
      throw msgpack::type_error();
    for (std::uint32_t I = 0; I < Fields[6].via.array.size; ++I) {
      const msgpack::object *Row = elements(Fields[6].via.array.ptr[I], 3);
      peer_sighting Sighting;
      Row[0].convert(Sighting.Host);
      Row[1].convert(Sighting.Incarnation);
      Row[2].convert(Sighting.AgeMs);
      Beat.Sightings.push_back(std::move(Sighting));
    }
    return Beat;
  });
}

std::string encode(std::span<const config_item> Items) {
  msgpack::sbuffer Buffer;
  packer Packer(Buffer);
  Packer.pack_array(static_cast<std::uint32_t>(Items.size()));
  for (const config_item &Item : Items) {
    Packer.pack_array(6);
    Packer.pack(Item.Name);
    Packer.pack(Item.Version);
    Packer.pack(Item.Deleted);
    Packer.pack(Item.Spec);
    Packer.pack(Item.ChangedBy);
    Packer.pack(Item.ChangedAtMs);
  }
  return textOf(Buffer);
}

std::optional<std::vector<config_item>> decodeItems(std::string_view Bytes) {
  using items = std::vector<config_item>;
  return decode<items>(Bytes, [](const msgpack::object &Object) {
    if (Object.type != msgpack::type::ARRAY)
      throw msgpack::type_error();
    items Result;
    for (std::uint32_t I = 0; I < Object.via.array.size; ++I) {
      const msgpack::object *Row = elements(Object.via.array.ptr[I], 6);
      config_item Item;
      Row[0].convert(Item.Name);
      Row[1].convert(Item.Version);
      Row[2].convert(Item.Deleted);
      Row[3].convert(Item.Spec);
      Row[4].convert(Item.ChangedBy);
      Row[5].convert(Item.ChangedAtMs);
      Result.push_back(std::move(Item));
    }
    return Result;
  });
}

std::string encode(const config_digest &Digest) {
  msgpack::sbuffer Buffer;
  packer Packer(Buffer);
  Packer.pack_array(static_cast<std::uint32_t>(Digest.size()));
  for (const config_digest_row &Row : Digest) {
    Packer.pack_array(3);
    Packer.pack(Row.Name);
    Packer.pack(Row.Latest);
    Packer.pack(Row.Good);
  }
  return textOf(Buffer);
}

std::optional<config_digest> decodeDigest(std::string_view Bytes) {
  return decode<config_digest>(Bytes, [](const msgpack::object &Object) {
    if (Object.type != msgpack::type::ARRAY)
      throw msgpack::type_error();
    config_digest Result;
    for (std::uint32_t I = 0; I < Object.via.array.size; ++I) {
      const msgpack::object *Row = elements(Object.via.array.ptr[I], 3);
      config_digest_row Parsed;
      Row[0].convert(Parsed.Name);
      Row[1].convert(Parsed.Latest);
      Row[2].convert(Parsed.Good);
      Result.push_back(std::move(Parsed));
    }
    return Result;
  });
}

} // namespace turmerichead
