#!/usr/bin/env bash
# Measures what control costs a host today: nine hosts, idle and under load.
# Prints a Markdown table of processor, memory, peer bytes and platform calls
# a second and host. SECONDS_EACH sets how long each state is watched.
set -euo pipefail
cd "$(dirname "$0")/.."
ulimit -n "$(ulimit -Hn)"
hosts=9 runners=4 slots=256 ms_per_token=20
. tools/fleet_for_bench.sh
each=${SECONDS_EACH:-10}
ticks=$(getconf CLK_TCK)
sleep 5 # The hosts have joined and the shards have holders.

# Sum over all hosts of a metric whose line begins with $1.
metric() {
  for url in $host_urls; do curl -sf "http://$url/metrics"; done |
    awk -v name="$1" 'index($0, name) == 1 { sum += $NF } END { print sum + 0 }'
}
processor() { # Ticks of all hosts together.
  for pid in "${daemons[@]}"; do cat "/proc/$pid/stat"; done |
    awk '{ sum += $14 + $15 } END { print sum }'
}
resident() { # KB of the largest host.
  for pid in "${daemons[@]}"; do awk '/VmRSS/ { print $2 }' "/proc/$pid/status"; done |
    sort -n | tail -n 1
}
watch_state() {
  cpu=$(processor) bytes=$(metric turmerichead_peer_bytes_out)
  calls=$(metric turmerichead_platform_calls{)
  sleep "$each"
  cpu=$(($(processor) - cpu))
  bytes=$(awk -v a="$(metric turmerichead_peer_bytes_out)" -v b="$bytes" 'BEGIN { print a - b }')
  calls=$(awk -v a="$(metric turmerichead_platform_calls{)" -v b="$calls" 'BEGIN { print a - b }')
  watches=$(metric turmerichead_platform_watches_open)
  awk -v state="$1" -v cpu="$cpu" -v ticks="$ticks" -v each="$each" -v n="$hosts" \
    -v bytes="$bytes" -v calls="$calls" -v rss="$(resident)" -v watches="$watches" 'BEGIN {
    printf "| %s | %.2f %% | %.1f MB | %.2f KB/s | %.2f + %.1f watches |\n", state,
      100 * cpu / ticks / each / n, rss / 1000, bytes / each / n / 1000,
      calls / each / n, watches / n }'
}
echo "| nine hosts | processor of a host | largest resident memory | peer bytes sent by a host | platform calls/s of a host |"
echo "|---|---|---|---|---|"
watch_state "idle"
"$build/bin/path_bench" --platform="$platform" --runners="$runner_list" \
  --streams=90 --turns=$((each + 6)) --idle=0 --rates= >/dev/null 2>"$work/bench.err" &
pids+=($!)
sleep 3
# The direct calls come first; watch once calls go through the hosts.
for ((try = 0; try < 600; try++)); do
  [ "$(metric turmerichead_dispatches_total)" -gt 150 ] && break
  sleep 0.2
done
watch_state "90 streams at once (data included)"
echo "| limit | 2.30 % | 32 MB | 2 KB/s | |"
