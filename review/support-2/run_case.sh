#!/usr/bin/env bash
# Runs the program of one case: run_case.sh NUMBER PROGRAM. Exit status: 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
set -m  # The program and what it starts form a process group.
cd "$(dirname "$0")/../.." || exit 2
folder=review/$1
program=target/review-2/$2
if [ ! -x "$program" ] || [ ! -x target/papayakeeld ]; then
  echo "build the deploy file and run review/build-2.sh first" >&2
  exit 2
fi
TROUBLE="${TROUBLE:-1}" "$program" "$folder/record.txt" &
job=$!
for _ in $(seq 1100); do
  kill -0 "$job" 2>/dev/null || break
  sleep 0.1
done
kill -0 "$job" 2>/dev/null && echo "the case took too long" >&2
wait_status=2
if ! kill -0 "$job" 2>/dev/null; then
  wait "$job"
  wait_status=$?
fi
kill -KILL -- -"$job" 2>/dev/null
[ "$wait_status" -le 1 ] || wait_status=2
exit "$wait_status"
