#!/usr/bin/env bash
# Measures goodput over load: plays days with one burst on a site of the users'
# bench, and prints programs a second that end in time, late, refused or failed
# while the burst lasts.
#
#   FLEETBENCH=PATH tools/goodput.sh SITE.toml [RESULT.csv]
#
# SEEDS ("1 2 3"), LOADS ("1 2 3 4 6 9": factors of the usual traffic), EXTRA
# ("gone moved slow": bursts of 3 with a third of the runners gone, with half
# of the first zone's callers moved to the second, with 40 % of the runners
# slow), JOBS (4: days played side by side) and WHY (for the journal) may be
# set. Needs jq and gnuplot. RESULT.csv gets a row for each day: name, seed, asked, in time, late,
# refused, failed (programs a second), share of the worth that the whole day
# and each kind of program earned. PLOT names an SVG file for the curves of the
# bursts; EARLIER a RESULT.csv of older code to draw beside them.
set -euo pipefail
cd "$(dirname "$0")/.."
site=${1:?usage: FLEETBENCH=PATH tools/goodput.sh SITE.toml [RESULT.csv]}
bench=${FLEETBENCH:?FLEETBENCH must name the bench}
seeds=${SEEDS:-1 2 3} loads=${LOADS:-1 2 3 4 6 9} extra=${EXTRA-gone moved slow}
result=${2:-}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# The burst lasts from BurstStart for BurstLength seconds; programs that start
# while it is at its height, from MeasureFrom to MeasureTo, are counted.
burst_start=8.0 burst_length=16.0
export measure_from=10 measure_to=22

# write_day NAME FACTOR [FAULT]
write_day() {
  cat >"$work/$1.toml" <<TOML
name = "$1"
slot = "scale"
seed = 1
plan = []
faults = [
  { at = $burst_start, kind = "burst", x = $2, for_s = $burst_length },
  ${3:-}
]
TOML
}

names=""
for load in $loads; do
  write_day "burst-$load" "$load.0"
  names="$names burst-$load"
done
for name in $extra; do
  case $name in
  gone) fault='kind = "srv_crash", service = "@s0", share = 0.33' ;;
  moved) fault='kind = "shift", zone = "@z0", to_zone = "@z1", share = 0.5' ;;
  slow) fault='kind = "srv_slow", service = "@s0", share = 0.4, x = 2.0' ;;
  *) echo "goodput.sh: unknown disruption: $name" >&2 && exit 2 ;;
  esac
  write_day "$name" 3.0 \
    "{ at = $burst_start, for_s = $burst_length, $fault },"
  names="$names $name"
done

# play SITE DAY SEED: writes one row of the result.
play() {
  report="$work/$2.$3.json"
  "$bench" run "$1" "$work/$2.toml" --seed "$3" --no-cpu --jobs 1 \
    --report "$report" --why "${WHY:-goodput}" >"$work/$2.$3.log" 2>&1 || {
    echo "goodput.sh: $2, seed $3: the run failed" >&2
    tail -n 3 "$work/$2.$3.log" >&2
    return 1
  }
  jq -r --arg day "$2" --arg seed "$3" \
    --argjson from "$measure_from" --argjson to "$measure_to" '
    [.windows[] | select((.name | tonumber) >= $from
                         and (.name | tonumber) < $to)] as $rows
    | ($to - $from) as $seconds
    | [$day, $seed] + [("n", "in_aim", "late", "refused", "failed") as $key
        | ([$rows[][$key]] | add) / $seconds | . * 10 | round / 10]
      + [.all.worth] + [.classes[] | select(.worth != null and .n > 0) | .worth]
    | join(";")' "$report"
}
export -f play
export bench work WHY=${WHY:-}

# A day that fails is reported by its row being missing.
for seed in $seeds; do
  for name in $names; do printf '%s %s\n' "$name" "$seed"; done
done | xargs -P "${JOBS:-4}" -L 1 bash -c 'play "$0" "$1" "$2"' "$site" \
  >"$work/rows" || true

echo "programs a second (mean of the seeds), share of the worth earned"
printf '%-10s %5s %7s %7s %7s %7s %7s  %s\n' day runs asked "in time" late \
  refused failed worth
for name in $names; do
  awk -F';' -v name="$name" '$1 == name {
      ++n; for (i = 3; i <= NF; ++i) sum[i] += $i; fields = NF }
    END {
      if (!n) { print name " no run ended"; exit }
      printf "%-10s %5d", name, n
      for (i = 3; i <= 7; ++i) printf " %7.1f", sum[i] / n
      printf "  %.3f (by kind:", sum[8] / n
      for (i = 9; i <= fields; ++i) printf " %.3f", sum[i] / n
      print ")" }' "$work/rows"
done
# curve FILE: load, programs a second in time, late; means of the seeds.
curve() {
  awk -F';' '$1 ~ /^burst-/ {
      load = substr($1, 7); ++n[load]; in_time[load] += $4; late[load] += $5 }
    END { for (l in n) print l, in_time[l] / n[l], late[l] / n[l] }' "$1" |
    sort -n
}

if [ -n "${PLOT:-}" ]; then
  curve "$work/rows" >"$work/now.dat"
  plot="'$work/now.dat' using 1:2 with linespoints lw 2 title 'in time',
    '' using 1:3 with linespoints lw 2 title 'late'"
  if [ -n "${EARLIER:-}" ]; then
    curve "$EARLIER" >"$work/earlier.dat"
    plot="$plot, '$work/earlier.dat' using 1:2 with linespoints dt 2 title
      'in time, earlier', '' using 1:3 with linespoints dt 2 title
      'late, earlier'"
  fi
  plot=$(printf '%s' "$plot" | tr '\n' ' ')
  gnuplot <<GNUPLOT
set terminal svg size 720,420 font 'sans,12' background 'white'
set output '$PLOT'
set title '$(basename "$site" .toml)'
set xlabel 'load, of the usual traffic'
set ylabel 'programs a second'
set key outside right top
set grid ytics
set yrange [0:*]
plot $plot
GNUPLOT
fi
if [ -n "$result" ]; then sort "$work/rows" >"$result"; fi
