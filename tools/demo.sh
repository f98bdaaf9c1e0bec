#!/usr/bin/env bash
# Installs what is needed, builds, and gives a tour over real processes: three
# hosts in three data centres, a ten-turn program with a sub-agent and a
# booking, whose holder is killed midway. Prints the answers, the complete
# history and the report.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install-deps.sh
tools/build.sh
build=${BUILD_DIR:-build}
exec "$build/bin/scenario_runner" --verbose \
  --scenario testsuite/demo/scenario.toml --bin "$build/bin" \
  --scratch "$build/testsuite/demo.tour"
