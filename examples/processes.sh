#!/usr/bin/env bash
# Runs the whole path as separate processes on loopback: the platform, three data
# centres with eight entry VMs, twelve backend servers and a caller. It ends with
# the caller's line of results and its exit status.
#
# Usage: examples/processes.sh [RATE] [SECONDS]; RUST_LOG sets the daemons' logs.
set -eu
cd "$(dirname "$0")/.."
rate=${1:-400}
seconds=${2:-10}
cargo build --quiet --release --workspace --bins
bin=target/release
dir=$(mktemp -d)
pids=() daemons=()
finish() {
    # Entry VMs first, while the platform still answers them.
    for group in "${daemons[*]}" "${pids[*]}"; do
        read -ra group <<<"$group"
        kill "${group[@]}" 2>/dev/null || true
        wait "${group[@]}" 2>/dev/null || true
    done
    rm -rf "$dir"
}
trap finish EXIT

platform=127.0.0.1:18500
"$bin/standin" platform --listen "$platform" >/dev/null & pids+=($!)
sleep 0.5

vms=() backends=() peers=() entries=()
for n in $(seq 1 12); do
    dc=dc-$(((n - 1) % 3 + 1))
    address=127.0.0.1:$((18600 + n))
    "$bin/standin" backend --listen "$address" --vm "vm-$n" --dc "$dc" \
        --rack "$dc-rack-1" --service-us 5000 --platform "$platform" >/dev/null & pids+=($!)
    vms+=("\"vm-$n\"") backends+=("$address")
done
for n in $(seq 1 8); do
    peers+=("dc-$(((n - 1) % 3 + 1))=127.0.0.1:$((18800 + n))")
    entries+=("127.0.0.1:$((18700 + n))")
done
for n in $(seq 1 8); do
    others=()
    for peer in "${peers[@]}"; do
        [ "$peer" = "${peers[$((n - 1))]}" ] || others+=("$peer")
    done
    cat >"$dir/e$n.ini" <<INI
[entry]
name = e$n
dc = dc-$(((n - 1) % 3 + 1))
listen = ${entries[$((n - 1))]}
control_listen = 127.0.0.1:$((18800 + n))
[peers]
control = $(IFS=,; echo "${others[*]}")
[platform]
address = $platform
INI
    RUST_LOG=${RUST_LOG:-warn} "$bin/chicoryd" run "$dir/e$n.ini" & daemons+=($!)
done
sleep 1

pool="{\"budget\": 2, \"vms\": [$(IFS=,; echo "${vms[*]}")]}"
echo "{\"pools\": {\"intake\": $pool}}" >"$dir/patch.json"
"$bin/chicory" --entry 127.0.0.1:18801 patch "$dir/patch.json" --base 0 --reason "first pools"
# A new entry VM gets its share of the slots within a few periods of control traffic.
sleep 8
"$bin/chicory" --entry 127.0.0.1:18801 status
echo "daemon_rss_kb=$(awk '/VmRSS/ {print $2}' "/proc/${daemons[0]}/status")"
"$bin/standin" call --entry "$(IFS=,; echo "${entries[*]}")" \
    --backends "$(IFS=,; echo "${backends[*]}")" \
    --pool intake --rate "$rate" --seconds "$seconds"
