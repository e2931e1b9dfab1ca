#!/usr/bin/env bash
# Measures the control traffic and resource use of idle entries.
#
# Usage: control_traffic.sh <build folder> [seconds per size]
#
# Runs several entries of one failure domain with instance lists of several
# sizes and prints one JSON object per size: bytes per second and entry to and
# from the key-value service, the instance list and the peers, processor time
# and memory. Relays between the processes count the bytes, HTTP headers
# included. The listed upstreams are not started, because an entry connects to
# an upstream only when it starts a task there.
set -euo pipefail

build=$(cd "$1" && pwd)
seconds=${2:-20}
root=$(cd "$(dirname "$0")/.." && pwd)
. "$root/tools/processes.sh"

ticks_per_second=$(getconf CLK_TCK)

# relay <name> <target port>: starts a relay and sets `relay_port` and
# `relay_control`.
relay() {
  start "$work/$1.log" jaypick-standin-relay "--target_port=$2" \
    "--lifetime_s=$lifetime"
  relay_port=$(service_port "$work/$1.log")
  relay_control=$(control_port "$work/$1.log")
}

# relay_bytes <control port>: prints the bytes relayed so far in both
# directions.
relay_bytes() {
  curl -fsS "http://127.0.0.1:$1/stats" |
    sed -E 's/.*"bytes_to_client":([0-9]+),"bytes_to_target":([0-9]+).*/\1 \2/' |
    awk '{print $1 + $2}'
}

# cpu_ticks_of <pid>: prints the user and system time in clock ticks.
cpu_ticks_of() { awk '{print $14 + $15}' "/proc/$1/stat"; }

# instances_json <upstreams> <entry name:port>...: prints an instance list.
instances_json() {
  local upstreams=$1 i separator=
  shift
  printf '{"instances":['
  for ((i = 0; i < upstreams; ++i)); do
    printf '%s{"name":"upstream-%04d","role":"upstream","state":"live","generation":1,"address":"127.0.0.1","port":9,"failure_domain":"d","service":"fitting","slots":8,"offers":{"cpus":32,"memory_mb":65536,"accelerators":2}}' \
      "$separator" "$i"
    separator=,
  done
  for i in "$@"; do
    printf ',{"name":"%s","role":"entry","state":"live","generation":1,"address":"127.0.0.1","port":%s,"failure_domain":"d"}' \
      "${i%:*}" "${i#*:}"
  done
  printf ']}'
}

# run_size <upstreams> <entries>: starts all processes and measures them.
run_size() {
  local upstreams=$1 count=$2 i entry_pids=() listed=() peers=()
  local folder=$work/$upstreams-$count
  mkdir -p "$folder"
  printf 'token-of-the-measurement\n' > "$folder/token"
  start "$folder/kv.log" jaypick-standin-kv "--lifetime_s=$lifetime"
  start "$folder/instances.log" jaypick-standin-instances \
    "--lifetime_s=$lifetime"
  relay "$upstreams-$count/kv-relay" "$(service_port "$folder/kv.log")"
  local kv_port=$relay_port kv_control=$relay_control
  relay "$upstreams-$count/list-relay" \
    "$(service_port "$folder/instances.log")"
  local list_port=$relay_port list_control=$relay_control
  for ((i = 1; i <= count; ++i)); do
    cat > "$folder/e$i.json" << SETTINGS
{"entry": {"name": "e$i", "failure_domain": "d"},
 "listen": {"caller": {"host": "127.0.0.1", "port": 0},
            "peer": {"host": "127.0.0.1", "port": 0},
            "operators": {"host": "127.0.0.1", "port": 0},
            "observability": {"host": "127.0.0.1", "port": 0}},
 "platform": {"key_value": {"host": "127.0.0.1", "port": $kv_port},
              "instances": {"host": "127.0.0.1", "port": $list_port}},
 "operators": {"token_file": "$folder/token"}}
SETTINGS
    start "$folder/e$i.log" jaypickd "--settings=$folder/e$i.json"
    entry_pids+=("${pids[-1]}")
    relay "$upstreams-$count/e$i-relay" \
      "$(entry_port "$folder/e$i.log" peer)"
    listed+=("e$i:$relay_port")
    peers+=("$relay_control")
  done
  instances_json "$upstreams" "${listed[@]}" > "$folder/list.json"
  curl -fsS -o "$folder/set" --data "@$folder/list.json" \
    "http://127.0.0.1:$(control_port "$folder/instances.log")/set"
  "$build/jaypick" config apply "$root/examples/wig-banks/sheet.csv" --wait \
    "--operator=127.0.0.1:$(entry_port "$folder/e1.log" operators)" \
    "--token_file=$folder/token" --author=bench > "$folder/apply" 2>&1
  sleep 3
  measure
  kill -KILL "${entry_pids[@]}"
}

# Prints the measurements of one interval. The value of each counter before the
# interval is subtracted from the one after it.
measure() {
  local kv list peer=0 cpu=0 rss=0 i
  kv=$(relay_bytes "$kv_control")
  list=$(relay_bytes "$list_control")
  for i in "${peers[@]}"; do peer=$((peer - $(relay_bytes "$i"))); done
  for i in "${entry_pids[@]}"; do cpu=$((cpu - $(cpu_ticks_of "$i"))); done
  sleep "$seconds"
  kv=$(($(relay_bytes "$kv_control") - kv))
  list=$(($(relay_bytes "$list_control") - list))
  for i in "${peers[@]}"; do peer=$((peer + $(relay_bytes "$i"))); done
  for i in "${entry_pids[@]}"; do
    cpu=$((cpu + $(cpu_ticks_of "$i")))
    rss=$((rss + $(awk '/VmRSS/ {print $2}' "/proc/$i/status")))
  done
  awk -v u="$upstreams" -v n="$count" -v s="$seconds" -v kv="$kv" \
    -v list="$list" -v peer="$peer" -v cpu="$cpu" -v rss="$rss" \
    -v hz="$ticks_per_second" 'BEGIN {
      printf "{\"study\":\"control_traffic\",\"upstreams\":%d,\"entries\":%d,", u, n
      printf "\"seconds\":%d,\"kv_bytes_per_s\":%.0f,", s, kv / s / n
      printf "\"list_bytes_per_s\":%.0f,\"peer_bytes_per_s\":%.0f,", list / s / n, peer / s / n
      printf "\"core_percent\":%.3f,\"rss_kb\":%.0f}\n", 100 * cpu / hz / s / n, rss / n }'
}

for upstreams in 50 250 500 1000; do run_size "$upstreams" 2; done
for count in 4 8 16; do run_size 250 "$count"; done
