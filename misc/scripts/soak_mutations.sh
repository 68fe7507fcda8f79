#!/usr/bin/env bash
# Runs the soak with each built-in defect and reports which invariant broke at
# which seed. Fails unless every defect breaks its own invariant within the
# seeds. Defects that KNOWN-RED.txt lists as "test: soak_mutations.NAME" are
# tried and printed, but do not fail. Arguments: number of seeds (10), calls per
# run (20000).
set -uo pipefail
cd "$(dirname "$0")/../.."
soak=build/papayakeel_soak
seeds=${1:-10}
calls=${2:-20000}
failed=0
passed_over=0
count=0
while read -r name invariant _; do
  count=$((count + 1))
  verdict="NOT FOUND in $seeds seeds"
  for seed in $(seq 1 "$seeds"); do
    violated=$("$soak" --mutation "$name" --seed "$seed" --calls "$calls" |
      sed -n 's/^violated=\(I[0-9]\).*/\1/p')
    [ "$violated" = "$invariant" ] || continue
    verdict="found at seed $seed"
    break
  done
  if [[ $verdict != found* ]]; then
    if grep -q "^test: *soak_mutations\.$name\$" KNOWN-RED.txt; then
      verdict+=" (known red, passed over)"
      passed_over=$((passed_over + 1))
    else
      failed=$((failed + 1))
    fi
  fi
  echo "$invariant $name: $verdict"
done < <("$soak" --list-mutations)
echo "$((count - failed - passed_over)) of $count defects found, $passed_over passed over"
[ "$count" -gt 0 ] && [ "$failed" -eq 0 ]
