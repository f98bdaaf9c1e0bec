#!/usr/bin/env bash
# Formats all C++ sources; with --check only reports those that differ.
set -euo pipefail
cd "$(dirname "$0")/.."
files=$(git ls-files -co --exclude-standard -- '*.cpp' '*.h')
if [ "${1:-}" = --check ]; then
  # shellcheck disable=SC2086
  exec clang-format-14 --dry-run --Werror $files
fi
# shellcheck disable=SC2086
exec clang-format-14 -i $files
