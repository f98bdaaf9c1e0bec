#!/usr/bin/env bash
# Runs the scenario cases named, or all, JOBS at a time (2), and lists what
# failed with its place. With --update a case that passes writes its reference.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
update=
if [ "${1:-}" = --update ]; then
  update=--update
  shift
fi
run_case() {
  folder=testsuite/$1
  log=$build/testsuite/$1.out
  if "$build/bin/scenario_runner" --scenario "$folder/scenario.toml" \
    --reference "$folder/reference.txt" --bin "$build/bin" $update \
    --scratch "$build/testsuite/$1.scratch" >"$log" 2>&1; then
    echo "passed $1"
    return 0
  fi
  echo "failed $1 ($log)"
  grep -a -A3 -E '^FAILED|transcript differs' "$log" | cut -c1-600
  return 1
}
export -f run_case
export build update
mkdir -p "$build/testsuite"
if [ $# -eq 0 ]; then
  set -- $(find testsuite -name scenario.toml -printf '%h\n' | xargs -n1 basename | sort)
fi
printf '%s\n' "$@" | xargs -P "${JOBS:-2}" -I{} bash -c 'run_case {}'
