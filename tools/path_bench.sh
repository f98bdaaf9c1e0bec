#!/usr/bin/env bash
# Starts stand-ins and three hosts, and measures the path of a call against
# them. Arguments go to path_bench; HOSTS sets another number of hosts.
set -euo pipefail
cd "$(dirname "$0")/.."
ulimit -n "$(ulimit -Hn)"
hosts=${HOSTS:-3} runners=${RUNNERS:-4} slots=${SLOTS:-512}
ms_per_token=${MS_PER_TOKEN:-20}
. tools/fleet_for_bench.sh
sleep "${SETTLE_S:-3}" # Shards find their holders.
"$build/bin/path_bench" --platform="$platform" --runners="$runner_list" \
  --pids="$host_pids" "$@"
if [ -n "${KEEP_LOGS:-}" ]; then cp -r "$work" "$KEEP_LOGS"; fi
