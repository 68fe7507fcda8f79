#!/usr/bin/env bash
# Builds the programs that the review's scripts start, into review/build/. Needs
# the build of the deploy file, whose libraries in target/ they use.
set -euo pipefail
cd "$(dirname "$0")/.."
out=review/build
mkdir -p "$out"
flags=(-std=c++17 -O1 -I. -DELPP_NO_DEFAULT_LOG_FILE
  '-DPAPAYAKEEL_BINARY_DIR="target"')
libraries=(target/libpapayakeel_platform.a target/libpapayakeel_modules.a
  target/libpapayakeel_decisions.a target/libeasylogging.a
  -lprometheus-cpp-core -lssl -lcrypto -lsodium -lxxhash -lz -lpthread)
support=(tests/platform/store_stand_in.cc
  tests/platform/process/platform_stand_in.cc
  tests/platform/soak/soak_caller.cc tests/platform/soak/fault_plan.cc
  tests/process/support/child_process.cc tests/process/support/test_client.cc
  tests/process/support/tcp_relay.cc review/support/working_endpoint.cc)
programs=(review/[0-9]/*.cc)

object_of() { echo "$out/$(basename "${1%.cc}").o"; }
jobs=()
for source in "${support[@]}" "${programs[@]}"; do
  g++ "${flags[@]}" -c "$source" -o "$(object_of "$source")" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
shared=()
for source in "${support[@]}"; do shared+=("$(object_of "$source")"); done
for source in "${programs[@]}"; do
  g++ -o "$out/$(basename "${source%.cc}")" "$(object_of "$source")" \
    "${shared[@]}" "${libraries[@]}"
done
