#!/usr/bin/env bash
# Installs packages, builds, and runs all tests, once plain and once under the
# address and undefined-behaviour sanitizers. Ends with "N passed, N failed".
set -euo pipefail
cd "$(dirname "$0")/../.."
misc/scripts/install_packages.sh

passed=0
failed=0
failures_found=()
known_red=()
if [ -f KNOWN-RED.txt ]; then
  # Entries start with "test: GROUP.NAME".
  while read -r name; do known_red+=("$name"); done \
    < <(sed -n 's/^test: *\([^ ]*\).*/\1/p' KNOWN-RED.txt)
fi
for name in "${known_red[@]}"; do echo "known red: $name"; done

# Whether KNOWN-RED.txt lists the test, given as GROUP.NAME.
is_known_red() {
  local name
  for name in "${known_red[@]}"; do [ "$name" != "$1" ] || return 0; done
  return 1
}

# Runs one test program and adds its counts. Failures of known red tests are
# printed, but do not count: CppUTest cannot exclude more than one name.
run_tests() {
  local program=$1 log name summary ran failures
  [ -x "$program" ] || return 0
  log=$(mktemp)
  echo "== $program"
  local status=0
  "$program" > "$log" 2> "$log.err" || status=$?
  cat "$log"
  summary=$(grep -E '^(OK|Errors) \(' "$log" | tail -n 1) || true
  ran=$(sed -n 's/.* \([0-9]*\) ran.*/\1/p' <<< "$summary")
  failures=$(sed -n 's/^Errors (\([0-9]*\) failure.*/\1/p' <<< "$summary")
  ran=${ran:-0}
  failures=${failures:-0}
  # A program that dies has no summary; that counts as one failure.
  if [ "$status" -ne 0 ] && [ "$failures" -eq 0 ]; then failures=1; fi
  [ "$status" -eq 0 ] || tail -n 100 "$log.err"
  while read -r name; do
    if is_known_red "$name" && [ -n "$summary" ]; then
      echo "known red, failed: $program: $name"
      failures=$((failures - 1))
      ran=$((ran - 1))
    else
      failures_found+=("$program: $name")
    fi
  done < <(sed -n 's/.*error: Failure in TEST(\(.*\), \(.*\))$/\1.\2/p' "$log")
  if [ "$status" -ne 0 ] && [ -z "$summary" ]; then
    failures_found+=("$program: ended with status $status")
  fi
  passed=$((passed + (ran > failures ? ran - failures : 0)))
  failed=$((failed + failures))
  rm -f "$log" "$log.err"
}

configure_and_build() {
  cmake -S . -B "$1" -G Ninja "${@:2}" > /dev/null
  ninja -C "$1" --quiet
}

configure_and_build build
run_tests build/papayakeel_tests
run_tests build/papayakeel_process_tests
configure_and_build build-sanitize -DPAPAYAKEEL_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug
run_tests build-sanitize/papayakeel_tests
run_tests build-sanitize/papayakeel_process_tests

# Counts one command as one test.
run_command() {
  echo "== $*"
  if "$@"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    failures_found+=("$*")
  fi
}

# A short soak with all invariants asserted, the proof that its checks bite,
# and the latency and goodput targets. All run under virtual time and fixed
# seeds.
run_command build/papayakeel_soak --seed 1 --calls 20000
run_command build-sanitize/papayakeel_soak --seed 2 --calls 20000
run_command misc/scripts/soak_mutations.sh 5
run_command build/papayakeel_bench --check --seed 1 --deployment norrsken,hsinyuan \
  --scenario steady,straggler,noisy,overload --policy papayakeel,p2c,perfect

# A short soak of real processes; longer ones are run by hand (docs/platform.md).
run_command build/papayakeel_fault_soak --seed 1 --seconds 10
# A seed whose faults include a store that comes back from an older copy.
run_command build/papayakeel_fault_soak --seed 154 --seconds 2
# A seed whose large fleet stops as a whole and starts again.
run_command build/papayakeel_fault_soak --seed 1 --seconds 6 --vms 32 \
  --endpoints 24

# Logs of long runs are cut, so failures are named once more at the end.
for name in "${failures_found[@]}"; do echo "failed: $name"; done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
