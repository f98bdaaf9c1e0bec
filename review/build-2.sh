#!/usr/bin/env bash
# Builds the cases of the second review and the stand-ins that they start, into
# target/review-2. Run it after the build of the deploy file, whose program the
# cases start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
build=target/review-2
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_CXX_FLAGS_RELEASE=-O1 -DBUILD_TESTING=OFF \
  -DCMAKE_PROJECT_turmerichead_INCLUDE="$PWD/review/project-2.cmake" >/dev/null
cmake --build "$build" -j "${JOBS:-8}" --target review_cases -- --quiet
# What a case starts: hosts by the commands of the deploy file, and stand-ins
# with the heartbeat of the sheets, 1200 ms; three of them are the silence after
# which an entry goes.
run=$build/run
mkdir -p "$run"
cat >"$run/turmerichead" <<'END'
#!/bin/sh
cd "$(dirname "$0")/../../.." || exit 2
if grep -q '"storage"' "$TURMERICHEAD_CONFIG"; then
  exec target/build/bin/turmerichead --platform
fi
exec target/build/bin/turmerichead --platform --hedge_percent 5
END
cat >"$run/standin_store" <<'END'
#!/bin/sh
exec "$(dirname "$0")/../bin/standin_store" --lapse_ms=3600 "$@"
END
cat >"$run/standin_upstream" <<'END'
#!/bin/sh
exec "$(dirname "$0")/../bin/standin_upstream" --heartbeat_ms=1200 "$@"
END
chmod +x "$run"/*
