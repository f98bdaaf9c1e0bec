#!/usr/bin/env bash
# Replaces three hosts one after another under load and shows that nothing is
# cut off. BUILD_DIR may be set.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh
build=${BUILD_DIR:-build}
exec "$build/bin/scenario_runner" --verbose \
  --scenario testsuite/rolling_replacement/scenario.toml --bin "$build/bin" \
  --scratch "$build/testsuite/rolling.tour"
