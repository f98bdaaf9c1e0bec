#!/usr/bin/env bash
# Starts a platform, runners and hosts on loopback for a bench, and stops them
# at the end of the calling script. Meant to be sourced:
#
#   hosts=9 runners=12 slots=64 ms_per_token=20 . tools/fleet_for_bench.sh
#
# Sets: platform, runner_list (ip:port,...), host_pids (id=pid,...),
# host_urls (ip:port ...), work (a folder for logs).
build=${BUILD_DIR:-build}
hosts=${hosts:-3}
runners=${runners:-4}
slots=${slots:-64}
ms_per_token=${ms_per_token:-20}
writes_per_s=${writes_per_s:-40}
shards=${shards:-64}
base=${BASE_PORT:-21000}
work=$(mktemp -d)
pids=()
daemons=()
# Hosts drain first, while the platform is there to hand their shards over.
stop_fleet() {
  for pid in "${daemons[@]}"; do kill "$pid" 2>/dev/null || true; done
  for ((try = 0; try < 100; try++)); do
    alive=0
    for pid in "${daemons[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
    [ $alive = 0 ] && break
    sleep 0.1
  done
  for pid in "${daemons[@]}" "${pids[@]}"; do
    kill -9 "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_fleet EXIT

platform=127.0.0.1:$base
runner_list=""
host_pids=""
host_urls=""
token_hash=$(printf %s yard-token | sha256sum | cut -d' ' -f1)
upstreams=""
for ((i = 1; i <= runners; i++)); do
  port=$((base + i))
  "$build/bin/standin_runner" --port="$port" --slots="$slots" \
    --ms_per_token="$ms_per_token" --prefill_us_per_token=0 \
    >"$work/r$i.log" 2>&1 &
  pids+=($!)
  runner_list+=${runner_list:+,}127.0.0.1:$port
  upstreams+=${upstreams:+,}'{"metadata":{"name":"r'$i'"},"spec":{"kind":"runner","address":"127.0.0.1:'$port'","models":["agent"],"slots":'$slots',"checks_fencing":false},"status":{"phase":"live"}}'
done
cat >"$work/seed.json" <<JSON
{"upstreams": [$upstreams],
 "entries": [{"metadata": {"name": "yard"}, "spec": {
   "owner": "gleisfenster", "owner_token_sha256": "$token_hash",
   "rank": "urgent", "model": "agent", "services": [], "target_ms": 60000,
   "limits": {"tokens": 2000000, "turns": 1000, "concurrency": 100000,
              "call_ms": 60000}}}]}
JSON
"$build/bin/standin_platform" --port="$base" --seed_file="$work/seed.json" \
  >"$work/platform.log" 2>&1 &
pids+=($!)
printf 'a key for benches\n' >"$work/key"
for ((i = 1; i <= hosts; i++)); do
  http=$((base + 100 + i))
  peer=$((base + 300 + i))
  cat >"$work/h$i.toml" <<TOML
[host]
id = "h$i"
data_centre = "dc$(((i - 1) % 3 + 1))"
region = "r1"
listen = "127.0.0.1:$http"
peer_listen = "127.0.0.1:$peer"
[platform]
url = "http://$platform"
namespace = "default"
writes_per_s = $writes_per_s
[cluster]
shared_key_file = "$work/key"
shards = $shards
[limits]
idle_timeout_ms = 600000
[log]
level = "warn"
TOML
  "$build/bin/turmerichead" --settings="$work/h$i.toml" >"$work/h$i.log" 2>&1 &
  daemons+=($!)
  host_pids+=${host_pids:+,}h$i=$!
  host_urls+=${host_urls:+ }127.0.0.1:$http
done
for url in $host_urls; do
  for ((try = 0; try < 300; try++)); do
    curl -sf -o /dev/null "http://$url/readyz" && break
    sleep 0.1
  done
  curl -sf -o /dev/null "http://$url/readyz" || {
    echo "host $url is not ready" >&2
    tail -n 3 "$work/h1.log" >&2
    exit 1
  }
done
