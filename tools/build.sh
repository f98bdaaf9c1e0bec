#!/usr/bin/env bash
# Configures and builds everything. BUILD_DIR and JOBS may be set.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
if [ ! -f "$build/build.ninja" ]; then
  cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
    -DCMAKE_BUILD_TYPE="${BUILD_TYPE:-RelWithDebInfo}" >/dev/null
fi
cmake --build "$build" -j "${JOBS:-$(nproc)}" -- --quiet
