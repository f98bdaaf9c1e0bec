#!/usr/bin/env bash
# Builds the cases of the second review and the stand-ins that they start, into
# target/review-2. Run it after the build of the deploy file, whose program the
# cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
build=target/review-2
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_CXX_FLAGS_RELEASE=-O1 -DBUILD_TESTING=OFF \
  -DCMAKE_PROJECT_turmerichead_INCLUDE="$PWD/review/second/project.cmake" >/dev/null
cmake --build "$build" -j "${JOBS:-8}" --target review_cases -- --quiet
# Stands beside the stand-ins, and starts a host as the deploy file does.
cat >"$build/bin/turmerichead" <<'END'
#!/bin/sh
cd "$(dirname "$0")/../../.." || exit 2
if grep -q '"storage"' "$TURMERICHEAD_CONFIG"; then
  exec target/build/bin/turmerichead --platform
fi
exec target/build/bin/turmerichead --platform --hedge_percent 5
END
chmod +x "$build/bin/turmerichead"
