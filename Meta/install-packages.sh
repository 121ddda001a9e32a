#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail

packages=(
  build-essential cmake ninja-build ccache pkg-config
  clang clang-format clang-tidy clang-tools libclang-rt-14-dev
  libsigc++-3.0-dev libevent-dev libhttp-parser-dev libjsonrpccpp-dev libjsoncpp-dev
  libabsl-dev libboost-log-dev libboost-dev
  libxxhash-dev libmsgpack-cxx-dev libpcg-cpp-dev zlib1g-dev nettle-dev
  doctest-dev libtrompeloeil-cpp-dev librapidcheck-dev
  curl jq gnuplot-nox
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done

if [ "${#missing[@]}" -gt 0 ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -q
  apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
