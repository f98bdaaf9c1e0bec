#!/usr/bin/env bash
# Installs what the build and the tests need on a fresh Debian 12 machine.
set -euo pipefail
packages="g++ cmake ninja-build pkg-config ccache git clang-14 clang-format-14
  clang-tidy-14 libglib2.0-dev libsoup-3.0-dev libhttp-parser-dev prometheus-cpp-dev libnghttp2-dev liblog4cplus-dev
  libgflags-dev libtomlplusplus-dev nlohmann-json3-dev libmsgpack-cxx-dev
  libxxhash-dev doctest-dev librapidcheck-dev glib-networking
  gnuplot-nox curl jq"
missing=""
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
