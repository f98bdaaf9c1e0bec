#!/usr/bin/env bash
# Runs clang-tidy on every source, or on those named. A source whose
# preprocessed text was clean before is not read again.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cache=${LINT_CACHE:-$HOME/.cache/turmerichead-lint}
mkdir -p "$cache"
lint_one() {
  source=$1
  key=$( (cat .clang-tidy
    g++ -std=c++20 -E -P -Isrc/include -DTURMERICHEAD_VERSION='""' $GLIB_CFLAGS "$source" 2>/dev/null ||
      cat "$source"
    cat "$source") | sha256sum | cut -c1-40)
  [ -e "$cache/$key" ] && return 0
  if clang-tidy-14 --quiet -p "$build" "$source" 2>/dev/null >"$cache/$key.out.$$"; then
    rm -f "$cache/$key.out.$$"
    : >"$cache/$key"
    return 0
  fi
  cat "$cache/$key.out.$$"
  rm -f "$cache/$key.out.$$"
  return 1
}
export -f lint_one
export build cache
GLIB_CFLAGS=$(pkg-config --cflags gio-2.0 gio-unix-2.0 libsoup-3.0 libnghttp2)
export GLIB_CFLAGS
if [ $# -gt 0 ]; then
  printf '%s\0' "$@"
else
  git ls-files -z -co --exclude-standard -- '*.cpp'
fi | xargs -0 -n 1 -P "${JOBS:-$(nproc)}" bash -c 'lint_one "$0"'
