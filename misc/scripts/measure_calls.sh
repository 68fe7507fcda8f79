#!/usr/bin/env bash
# Measures the processor time of one papayakeeld per call, and the time that it
# adds to a call, at several rates on the loopback: one entry VM, 8 servers with
# 8 slots, 5 ms of work. Below each rate the same load without papayakeel.
set -u
cd "$(dirname "$0")/../.."
W=$(mktemp -d); B=build; base=$((10000 + RANDOM % 20000))
P=127.0.0.1:$base; pids=()
$B/platform_stand_in --listen $P & pids+=($!)
S=(); for i in 1 2 3 4 5 6 7 8; do $B/server_stand_in --listen 127.0.0.1:$((base+10+i)) --slots 8 --work-ms 5 & pids+=($!); S+=("\"127.0.0.1:$((base+10+i))\""); done
$B/papayakeelctl key generate --id k --secret-file $W/s --public-file $W/p >/dev/null
cat > $W/e.toml <<E
[process]
deployment = "cap"
availability_zone = "a"
[log]
level = "warning"
[callers]
listen = "127.0.0.1:$((base+1))"
[operators]
listen = "127.0.0.1:$((base+2))"
token = "capacity-test-token"
[peers]
listen = "127.0.0.1:$((base+3))"
fleet_key = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
[platform]
configuration_service = "$P"
vm_list = "$P"
[bundle.trusted_keys]
$(cat $W/p)
E
IFS=,; LIST="${S[*]}"; unset IFS
cat > $W/b.toml <<E
deployment = "cap"
version = 1
[[service]]
name = "svc"
endpoint_source = "static"
slots_per_endpoint = 8
endpoints = [$LIST]
[[service.class]]
name = "read"
methods = ["GET"]
E
$B/papayakeelctl bundle sign $W/b.toml --key $W/s --key-id k --output $W/b.signed >/dev/null || exit 1
sleep 0.3
curl -s --data-binary @$W/b.signed http://$P/admin/publish
$B/papayakeeld --settings $W/e.toml & D=$!
for i in $(seq 100); do curl -sf http://127.0.0.1:$((base+2))/readyz >/dev/null && break; sleep 0.1; done
ticks() { awk '{print $14+$15}' /proc/$D/stat; }
for r in 200 500 1000 2000; do
 t0=$(ticks); out=$($B/caller_load -a 127.0.0.1:$((base+1)) --service svc --rate $r --duration-ms 5000); t1=$(ticks)
 echo "rate=$r cpu_ms=$(( (t1-t0)*10 )) rss_kb=$(awk '/VmRSS/{print $2}' /proc/$D/status) $out"
 echo "  direct $($B/caller_load --direct $(for i in 1 2 3 4 5 6 7 8; do echo -a 127.0.0.1:$((base+10+i)); done) --service svc --rate $r --duration-ms 5000)"
done
kill $D; sleep 0.5; kill ${pids[@]}; wait 2>/dev/null; rm -rf $W
