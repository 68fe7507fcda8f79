#!/usr/bin/env bash
# Installs everything that building and testing need, from Debian's packages.
set -euo pipefail
packages=(
  g++ clang clang-format clang-tidy cmake ninja-build ccache pkg-config git
  libboost-dev libboost-system-dev libwebsocketpp-dev prometheus-cpp-dev
  libpopt-dev libeasyloggingpp-dev libexpected-dev libcpputest-dev
  libtomlplusplus-dev nlohmann-json3-dev librapidcheck-dev libsodium-dev
  libssl-dev libxxhash-dev zlib1g-dev libclang-rt-14-dev curl
)
if dpkg-query -W -f '${Status}\n' "${packages[@]}" 2>/dev/null |
  grep -c '^install ok installed$' | grep -qx "${#packages[@]}"; then
  exit 0
fi
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update
"${as_root[@]}" env DEBIAN_FRONTEND=noninteractive \
  apt-get install -y --no-install-recommends "${packages[@]}"
