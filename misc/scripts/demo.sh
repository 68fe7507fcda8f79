#!/usr/bin/env bash
# Builds, starts stand-ins and three entry VMs on the loopback, and shows
# lookups, a once-only booking, a straggler, a drain and a new bundle coming
# into force. Stops everything that it started.
set -euo pipefail
cd "$(dirname "$0")/../.."
misc/scripts/install_packages.sh
cmake -S . -B build -G Ninja > /dev/null
ninja -C build --quiet papayakeeld papayakeelctl server_stand_in platform_stand_in caller_load

work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2> /dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

base=$((10000 + (RANDOM % 400) * 50))
port() { echo "127.0.0.1:$((base + $1))"; }
platform=$(port 0)
token=demo-operator-token
echo "$token" > "$work/token"

step() { printf '\n== %s\n' "$*"; }
wait_for() {
  for _ in $(seq 200); do
    if "$@" > /dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  echo "timed out: $*"
  return 1
}
look() { curl -s -H 'Host: matregister' "http://$1/lookup/mat"; }
record() { curl -s "http://$1/admin/record"; }

step "Stand-ins: one platform, four servers"
build/platform_stand_in --listen "$platform" & pids+=($!)
servers=()
for index in 1 2 3 4; do
  address=$(port $((10 + index)))
  build/server_stand_in --listen "$address" --work-ms 10 & pids+=($!)
  servers+=("$address")
done
for server in "${servers[@]}"; do wait_for record "$server"; done
wait_for curl -sf "http://$platform/admin/record"
echo "platform $platform, servers ${servers[*]}"

step "Keys: the operator makes a key pair"
build/papayakeelctl key generate --id demo --secret-file "$work/secret" --public-file "$work/public"

step "Entry VMs: three daemons"
entries=()
operators=()
seeds=""
for index in 0 1 2; do seeds="$seeds${seeds:+, }\"$(port $((30 + index)))\""; done
for index in 0 1 2; do
  cat > "$work/entry$index.toml" <<SETTINGS
[process]
deployment = "demo"
availability_zone = "zone-$index"
[log]
level = "warning"
[callers]
listen = "$(port $((20 + index)))"
[operators]
listen = "$(port $((40 + index)))"
token = "$token"
[peers]
listen = "$(port $((30 + index)))"
seeds = [$seeds]
fleet_key = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
[platform]
configuration_service = "$platform"
vm_list = "$platform"
[bundle.trusted_keys]
$(cat "$work/public")
SETTINGS
  build/papayakeeld --check-settings "$work/entry$index.toml"
  build/papayakeeld --settings "$work/entry$index.toml" 2> "$work/entry$index.log" & pids+=($!)
  entries+=("$(port $((20 + index)))")
  operators+=("$(port $((40 + index)))")
done
for operator in "${operators[@]}"; do wait_for curl -sf "http://$operator/healthz"; done

step "Bundle 1: checked, signed and published"
write_bundle() {
  cat > "$work/bundle$1.toml" <<BUNDLE
deployment = "demo"
version = $1

[[service]]
name = "matregister"
  [[service.class]]
  name = "lookup"
  methods = ["GET"]
  path_prefix = "/"
  patience_ms = $2
  importance = 1

[[service]]
name = "bokning"
  [[service.class]]
  name = "booking"
  methods = ["POST"]
  path_prefix = "/bookings"
  once_only = true
  patience_ms = 5000
  importance = 2
  not_run_statuses = [503]
BUNDLE
  build/papayakeelctl bundle check "$work/bundle$1.toml"
  build/papayakeelctl bundle sign "$work/bundle$1.toml" --key "$work/secret" --key-id demo \
    --output "$work/bundle$1.signed"
}
addresses=()
for operator in "${operators[@]}"; do addresses+=(--address "$operator"); done
write_bundle 1 2000
curl -s --data-binary "@$work/bundle1.signed" "http://$platform/admin/publish"
publish_vms() {
  local vms="" index state
  for index in 0 1 2 3; do
    state=live
    [ "$index" != "${1:-none}" ] || state=leaving
    service=matregister
    [ "$index" -lt 2 ] || service=bokning
    vms="$vms${vms:+,}{\"role\":\"server\",\"address\":\"${servers[$index]}\",\"service\":\"$service\",\"availability_zone\":\"zone-$index\",\"state\":\"$state\"}"
  done
  for index in 0 1 2; do
    vms="$vms,{\"role\":\"entry\",\"address\":\"${entries[$index]}\",\"peer_address\":\"$(port $((30 + index)))\",\"state\":\"live\"}"
  done
  curl -s -d "{\"vms\":[$vms]}" "http://$platform/admin/vms"
}
publish_vms
build/papayakeelctl rollout watch --version 1 "${addresses[@]}" --token-file "$work/token" --timeout-ms 20000
for operator in "${operators[@]}"; do wait_for curl -sf "http://$operator/readyz"; done

step "Addresses: a caller asks which entry VMs to use"
curl -s "http://${entries[1]}/.well-known/papayakeel/addresses?service=matregister"
home=$(curl -s "http://${entries[1]}/.well-known/papayakeel/addresses?service=matregister" |
  sed 's/.*"addresses":\[{"address":"\([^"]*\)".*/\1/')
epoch_line=$(curl -s "http://${entries[0]}/.well-known/papayakeel/addresses?service=bokning")

step "Lookup: through the home $home"
served() { look "$home" | grep -q '^served'; }
wait_for served
look "$home"

step "Once-only booking: sent three times with one key, run once"
booking_home=$(sed 's/.*"addresses":\[{"address":"\([^"]*\)".*/\1/' <<< "$epoch_line")
epoch=$(sed 's/.*"addresses":\[{"address":"[^"]*","availability_zone":"[^"]*","epoch":"\([^"]*\)".*/\1/' <<< "$epoch_line")
booked() {
  curl -s -X POST -d weave -H 'Host: bokning' -H "Idempotency-Key: $epoch.ready-$RANDOM" \
    "http://$booking_home/bookings" | grep -q '^served'
}
# The home knows the booking servers once it has read the list of VMs.
wait_for booked
for attempt in 1 2 3; do
  curl -s -X POST -d weave -H 'Host: bokning' -H "Idempotency-Key: $epoch.demo-1" \
    -H "Papayakeel-Attempt: $attempt" "http://$booking_home/bookings"
done
echo "records of the booking servers: $(record "${servers[2]}" | grep -o '"runs":{[^}]*}') $(record "${servers[3]}" | grep -o '"runs":{[^}]*}')"

step "Straggler: one of two lookup servers becomes 20 times slower"
build/caller_load --address "${entries[0]}" --service matregister --rate 60 --duration-ms 2000
curl -s -d '{"slowdown": 20}' "http://${servers[0]}/admin/faults"
build/caller_load --address "${entries[0]}" --service matregister --rate 60 --duration-ms 2000
curl -s -d '{"slowdown": 1}' "http://${servers[0]}/admin/faults"

step "Drain: the VM list says that a lookup server is leaving"
publish_vms 1
sleep 4
before=$(record "${servers[1]}" | grep -o '"received":[0-9]*')
build/caller_load --address "${entries[0]}" --service matregister --rate 60 --duration-ms 1000
echo "calls to the leaving server before and after: $before $(record "${servers[1]}" | grep -o '"received":[0-9]*')"

step "Bundle 2: comes into force everywhere"
write_bundle 2 3000
build/papayakeelctl bundle compare "$work/bundle1.toml" "$work/bundle2.toml" || true
curl -s --data-binary "@$work/bundle2.signed" "http://$platform/admin/publish"
build/papayakeelctl rollout watch --version 2 "${addresses[@]}" --token-file "$work/token" --timeout-ms 20000

step "Done"
