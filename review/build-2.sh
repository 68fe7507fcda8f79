#!/usr/bin/env bash
# Builds the programs of the cases from 6 on, with the project's stand-ins,
# into target/review-2/. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++17 -O1 -Wall -Wextra -I. -DTOML_HEADER_ONLY=1
  "-DPAPAYAKEEL_BINARY_DIR=\"$PWD/target\"")
stand_ins=(tests/platform/process/platform_stand_in.cc
  tests/platform/store_stand_in.cc tests/platform/store_items.cc tests/process/support/child_process.cc
  tests/process/support/tcp_relay.cc tests/process/support/test_client.cc
  tests/process/support/test_fleet.cc review/support-2/case_record.cc)
libraries=(target/libpapayakeel_platform.a target/libpapayakeel_modules.a target/libpapayakeel_decisions.a
  target/libeasylogging.a -lprometheus-cpp-core -lsodium -lxxhash -lcrypto -lz
  -lboost_system -lpthread)
cases=(review/[6-9]/src/*.cc review/10/src/*.cc)
objects=()
for source in "${stand_ins[@]}" "${cases[@]}"; do
  [ -e "$source" ] || continue
  objects+=("$source")
done
printf '%s\n' "${objects[@]}" | xargs -P 4 -I{} sh -c '
  out=$1; source=$2; shift 2
  g++ "$@" -c "$source" -o "$out/$(basename "$source" .cc).o"
' sh "$out" {} "${flags[@]}"
for source in "${cases[@]}"; do
  [ -e "$source" ] || continue
  name=$(basename "$source" .cc)
  parts=("$out/$name.o")
  for part in "${stand_ins[@]}"; do
    parts+=("$out/$(basename "$part" .cc).o")
  done
  g++ "${parts[@]}" "${libraries[@]}" -o "$out/$name"
done
