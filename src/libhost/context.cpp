#include "context_pvt.h"

namespace turmerichead::host_pvt {

std::uint32_t host_context::shardOf(std::string_view Root) const {
  auto Shards = static_cast<std::uint32_t>(Map.Shards.size());
  if (Shards == 0)
    Shards = static_cast<std::uint32_t>(Settings.Cluster.Shards);
  return cluster::shardOf(Root, Shards);
}

std::string_view host_context::holderOf(std::string_view Program) const {
  const shard_placement *Placement = Map.placement(shardOf(rootOf(Program)));
  if (!Placement)
    return {};
  return Placement->Holder;
}

std::string urlOf(const upstream_object &Upstream, std::string_view Path) {
  return "http://" + Upstream.Address.toText() + std::string(Path);
}

} // namespace turmerichead::host_pvt
