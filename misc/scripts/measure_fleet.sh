#!/usr/bin/env bash
# Measures control traffic and processor time of real papayakeeld processes at
# rest on loopback. Usage: measure_fleet.sh [PROCESSES [SECONDS [BASE_PORT]]].
# Prints one line for each process and a summary; then hands a newer bundle to
# one process and prints which others have taken it over a second later. Processor time is user plus
# system time from /proc/PID/stat.
set -euo pipefail
cd "$(dirname "$0")/../.."
processes=${1:-15}
seconds=${2:-60}
base=${3:-$((20000 + RANDOM % 10000))}
folder=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
  wait
  rm -rf "$folder"
}
trap stop EXIT

platform=127.0.0.1:$base
build/platform_stand_in --listen "$platform" &
pids+=($!)
sleep 0.5
build/papayakeelctl key generate --id anna --secret-file "$folder/secret" \
  --public-file "$folder/public" > /dev/null
for version in 1 2; do
  cat > "$folder/bundle" << END
deployment = "hsinyuan"
version = $version
[[service]]
name = "specbook"
endpoint_source = "static"
endpoints = ["127.0.0.1:1"]
[[service.class]]
name = "read"
END
  build/papayakeelctl bundle sign "$folder/bundle" --key "$folder/secret" \
    --key-id anna --output "$folder/signed$version" > /dev/null
done
curl -s -X POST --data-binary "@$folder/signed1" \
  "http://$platform/admin/publish" > /dev/null
vms=()
for ((each = 1; each <= processes; ++each)); do
  port=$((base + 10 * each))
  vms+=("{\"role\": \"entry\", \"address\": \"127.0.0.1:$port\",
    \"peer_address\": \"127.0.0.1:$((port + 2))\",
    \"availability_zone\": \"hsinchu\", \"state\": \"live\"}")
  cat > "$folder/$each.toml" << END
[process]
deployment = "hsinyuan"
availability_zone = "hsinchu"
[log]
level = "warning"
[callers]
listen = "127.0.0.1:$port"
[operators]
listen = "127.0.0.1:$((port + 1))"
token = "measure-fleet-token"
[peers]
listen = "127.0.0.1:$((port + 2))"
fleet_key = "$(printf '07%.0s' {1..32})"
[platform]
configuration_service = "$platform"
vm_list = "$platform"
[bundle.trusted_keys]
$(cat "$folder/public")
END
done
list=$(IFS=,; echo "{\"vms\": [${vms[*]}]}")
curl -s -X POST --data "$list" "http://$platform/admin/vms" > /dev/null
daemons=()
for ((each = 1; each <= processes; ++each)); do
  build/papayakeeld --settings "$folder/$each.toml" 2> "$folder/$each.log" &
  pids+=($!)
  daemons+=($!)
done

# Prints the value of counter $2 of the peer link of process $1.
peer_counter() {
  curl -s -H "Authorization: Bearer measure-fleet-token" \
    "http://127.0.0.1:$((base + 10 * $1 + 1))/state" |
    grep -o '"peer_link":{[^}]*}' | grep -o "\"$2\":[0-9]*" | cut -d : -f 2
}
# Prints user plus system time of process $1 in clock ticks.
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

sleep 30
declare -a ticks_before bytes_before received_before messages_before
for ((each = 1; each <= processes; ++each)); do
  bytes_before[each]=$(peer_counter "$each" bytes_sent)
  received_before[each]=$(peer_counter "$each" bytes_received)
  messages_before[each]=$(peer_counter "$each" messages_sent)
  ticks_before[each]=$(ticks "${daemons[each - 1]}")
done
sleep "$seconds"
hertz=$(getconf CLK_TCK)
for ((each = 1; each <= processes; ++each)); do
  pid=${daemons[each - 1]}
  used=$(($(ticks "$pid") - ticks_before[each]))
  sent=$(($(peer_counter "$each" bytes_sent) - bytes_before[each]))
  received=$(($(peer_counter "$each" bytes_received) - received_before[each]))
  messages=$(($(peer_counter "$each" messages_sent) - messages_before[each]))
  resident=$(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")
  echo "$each $used $sent $received $messages $resident" \
    "$(peer_counter "$each" peers_heard) $(peer_counter "$each" suspicions)" \
    "$(peer_counter "$each" connections)"
done | awk -v seconds="$seconds" -v hertz="$hertz" '
  { printf "process=%d processor_percent=%.3f bytes_sent_per_second=%.0f " \
      "bytes_received_per_second=%.0f messages_sent_per_second=%.2f " \
      "resident_kb=%d peers_heard=%d suspicions=%d connections=%d\n", $1, 100 * $2 / hertz / seconds,
      $3 / seconds, $4 / seconds, $5 / seconds, $6, $7, $8, $9
    used += $2; sent += $3; received += $4; messages += $5
    if ($6 > resident) resident = $6 }
  END { printf "mean of %d: processor_percent=%.3f bytes_sent_per_second=%.0f " \
      "bytes_received_per_second=%.0f messages_sent_per_second=%.2f " \
      "largest_resident_kb=%d\n", NR, 100 * used / hertz / seconds / NR,
      sent / seconds / NR, received / seconds / NR, messages / seconds / NR,
      resident }'

echo measure-fleet-token > "$folder/token"
build/papayakeelctl rollout push "$folder/signed2" \
  --address "127.0.0.1:$((base + 11))" --token-file "$folder/token"
sleep 1
for ((each = 1; each <= processes; ++each)); do
  echo "process=$each bundles_accepted=$(peer_counter "$each" bundles_accepted)"
done
