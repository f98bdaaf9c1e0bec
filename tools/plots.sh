#!/usr/bin/env bash
# Draws the policy's curves into docs/plots/ from docs/plots/policy.csv.
# With --measure it runs policy_bench first, which takes half an hour.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
csv=docs/plots/policy.csv
if [ "${1:-}" = --measure ]; then
  "$build/bin/policy_bench" --csv="$csv" --cost=false --herd=false
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# medians USER POLICY COLUMN DIVISOR: load, median, least and most.
medians() {
  awk -F';' -v user="$1" -v policy="$2" -v column="$3" -v divisor="$4" '
    $1 == user && $3 == policy && $2 ~ /^load/ {
      load = substr($2, 6); print load, $column / divisor }' "$csv" |
    sort -n -k1,1 -k2,2 | awk '
    function flush() {
      if (n) print load, n % 2 ? v[(n + 1) / 2] : (v[n / 2] + v[n / 2 + 1]) / 2, v[1], v[n]
      n = 0 }
    $1 != load { flush(); load = $1 }
    { v[++n] = $2 }
    END { flush() }'
}

# curve USER COLUMN DIVISOR TITLE LABEL FILE
curve() {
  local plot="" index=0
  for policy in "turmerichead" "plain affinity" "fifo, least load" "round robin"; do
    index=$((index + 1))
    medians "$1" "$policy" "$2" "$3" >"$work/$index.dat"
    [ -s "$work/$index.dat" ] || continue
    plot="$plot${plot:+, }'$work/$index.dat' using 1:2:3:4 with yerrorlines lw 2 title '$policy'"
  done
  gnuplot <<GNUPLOT
set terminal svg size 720,420 font 'sans,12' background 'white'
set output 'docs/plots/$6'
set title '$4'
set xlabel 'offered load, of what the fleet can do'
set ylabel '$5'
set key outside right top
set grid ytics
set yrange [0:*]
set xrange [0.45:1.25]
plot $plot
GNUPLOT
}

for user in gleisfenster garterline; do
  curve $user 6 1000 "$user: urgent programs" "95th percentile of latency, s" "$user-urgent-p95.svg"
  curve $user 9 1 "$user: work of programs that met their target" "of what the fleet can do" "$user-in-target.svg"
  curve $user 13 1 "$user: prefill computed and wasted" "tokens a call" "$user-wasted.svg"
done
