#!/usr/bin/env bash
# Runs hosts of the last landing's version beside hosts of this one. Its commit
# stands in testsuite/fleet/last_landing; its daemon is built from the history
# once. Exits with 77 if the history does not hold the commit, as in a shallow
# clone. Usage: tools/mixed_versions.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "${1:-${BUILD_DIR:-build}}")
commit=$(cat testsuite/fleet/last_landing)
if ! git cat-file -e "$commit^{commit}" 2>/dev/null; then
  echo "skipped: the history does not hold $commit"
  exit 77
fi
other=$build/last_landing/$commit
if [ ! -x "$other/build/bin/turmerichead" ]; then
  rm -rf "$build/last_landing"
  mkdir -p "$other"
  git archive "$commit" | tar -x -C "$other"
  export CCACHE_BASEDIR=$other CCACHE_NOHASHDIR=1
  cmake -S "$other" -B "$other/build" -G Ninja -DBUILD_TESTING=OFF \
    -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
    -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
  cmake --build "$other/build" --target turmerichead -- --quiet
fi
export FLEET_OTHER_DAEMON=$other/build/bin/turmerichead
exec "$build/testsuite/fleet/fleet_test" -tc=mixed_versions_read_each_others_messages
