#!/usr/bin/env bash
# Runs all bench scenarios for both deployments and seeds 1 to 5 and writes a
# markdown table to standard output. Missed targets go to standard error and
# make the exit status 1. Needs a built build/papayakeel_bench.
# Usage: measure_bench.sh [--seeds LIST] [--calls N]
set -euo pipefail
cd "$(dirname "$0")/../.."
seeds=1,2,3,4,5
calls=100000
while [ $# -gt 0 ]; do
  case $1 in
    --seeds) seeds=${2:?}; shift 2 ;;
    --calls) calls=${2:?}; shift 2 ;;
    *) echo "usage: $0 [--seeds LIST] [--calls N]" >&2; exit 2 ;;
  esac
done
policies=papayakeel,papayakeel_2_homes,papayakeel_4_homes,spread,p2c,random,perfect

echo "Seeds $seeds, $calls calls a run. Latency, goodput and shares of calls are"
echo "medians over the seeds, the worst p99 and the cost of probes are maxima, and"
echo "the last four columns are sums."
echo
exec build/papayakeel_bench --check --markdown --scenario all --seed "$seeds" \
  --deployment norrsken,hsinyuan --policy "$policies" --calls "$calls"
