#!/usr/bin/env bash
# Measures the processor time that one entry process needs per task start, HTTP
# included.
#
# Usage: entry_cost.sh <build folder> [milliseconds per run]
#
# Upstreams answer immediately, so that the entry limits the rate. Prints one
# JSON object per run: rate, response times at the caller, processor time per
# task start, and the open connections to upstreams and the resident memory
# at the end of the run.
set -euo pipefail

build=$(cd "$1" && pwd)
duration_ms=${2:-5000}
root=$(cd "$(dirname "$0")/.." && pwd)
. "$root/tools/processes.sh"

readonly warm_up_ms=1000
ticks_per_second=$(getconf CLK_TCK)

# cpu_ticks_of <pid>: prints the user and system time in clock ticks.
cpu_ticks_of() { awk '{print $14 + $15}' "/proc/$1/stat"; }

# Prints the number of tasks that the entry has started so far.
started_tasks() {
  curl -fsS "http://127.0.0.1:$(entry_port "$folder/e1.log" observability)/metrics" |
    awk '/^jaypick_tasks_started_total/ {sum += $NF} END {print sum + 0}'
}

# Prints the number of open connections to the upstreams.
upstream_connections() {
  local sum=0 i
  for i in "${control_ports[@]}"; do
    sum=$((sum + $(curl -fsS "http://127.0.0.1:$i/stats" |
      sed -E 's/.*"connections":([0-9]+).*/\1/')))
  done
  echo "$sum"
}

# put_instance <JSON>: adds an instance to the instance list.
put_instance() {
  post "http://127.0.0.1:$(control_port "$folder/instances.log")/put" "$1"
}

start_entry() {
  printf 'token-of-the-measurement\n' > "$folder/token"
  start "$folder/kv.log" jaypick-standin-kv "--lifetime_s=$lifetime"
  start "$folder/instances.log" jaypick-standin-instances \
    "--lifetime_s=$lifetime"
  cat > "$folder/e1.json" << SETTINGS
{"entry": {"name": "e1", "failure_domain": "d"},
 "listen": {"caller": {"host": "127.0.0.1", "port": 0},
            "peer": {"host": "127.0.0.1", "port": 0},
            "operators": {"host": "127.0.0.1", "port": 0},
            "observability": {"host": "127.0.0.1", "port": 0}},
 "platform": {"key_value": {"host": "127.0.0.1",
                            "port": $(service_port "$folder/kv.log")},
              "instances": {"host": "127.0.0.1",
                            "port": $(service_port "$folder/instances.log")}},
 "operators": {"token_file": "$folder/token"}}
SETTINGS
  start "$folder/e1.log" jaypickd "--settings=$folder/e1.json"
  entry_pid=${pids[-1]}
  put_instance "{\"name\":\"e1\",\"role\":\"entry\",\"address\":\"127.0.0.1\",\"port\":$(entry_port "$folder/e1.log" peer),\"failure_domain\":\"d\"}"
  "$build/jaypick" config apply "$root/examples/wig-banks/sheet.csv" \
    "--operator=127.0.0.1:$(entry_port "$folder/e1.log" operators)" \
    "--token_file=$folder/token" --author=bench > "$folder/apply" 2>&1
}

# start_upstreams <count>
start_upstreams() {
  local i
  control_ports=()
  for ((i = 1; i <= $1; ++i)); do
    start "$folder/u$i.log" jaypick-standin-upstream \
      --record_starts=false "--lifetime_s=$lifetime"
    control_ports+=("$(control_port "$folder/u$i.log")")
    put_instance "{\"name\":\"u$i\",\"role\":\"upstream\",\"address\":\"127.0.0.1\",\"port\":$(service_port "$folder/u$i.log"),\"failure_domain\":\"d\",\"service\":\"fitting\",\"slots\":8,\"offers\":{\"cpus\":32,\"memory_mb\":65536,\"accelerators\":0}}"
  done
}

# run_load <tasks per job> <jobs in flight>: sends jobs for `duration_ms` and
# prints the measurements.
run_load() {
  local cpu started line
  started=$(started_tasks)
  cpu=$(cpu_ticks_of "$entry_pid")
  line=$("$build/jaypick-standin-caller" \
    "--entry_port=$(entry_port "$folder/e1.log" caller)" "--tasks=$1" \
    "--payload={\"run_ms\":0}" "--in_flight=$2" "--warm_up_ms=$warm_up_ms" \
    "--duration_ms=$duration_ms" | tail -n 1)
  cpu=$(($(cpu_ticks_of "$entry_pid") - cpu))
  started=$(($(started_tasks) - started))
  awk -v line="$line" -v u="$upstreams" -v t="$1" -v f="$2" -v cpu="$cpu" \
    -v hz="$ticks_per_second" -v n="$started" -v c="$(upstream_connections)" \
    -v rss="$(awk '/VmRSS/ {print $2}' "/proc/$entry_pid/status")" 'BEGIN {
      printf "{\"study\":\"entry_cost\",\"upstreams\":%d,\"tasks_per_job\":%d,", u, t
      printf "\"jobs_in_flight\":%d,\"core_us_per_start\":%.1f,", f, 1e6 * cpu / hz / n
      printf "\"connections\":%d,\"rss_kb\":%d,\"caller\":%s}\n", c, rss, line }'
}

for upstreams in 4 8 16 32; do
  folder=$work/$upstreams
  mkdir -p "$folder"
  first=${#pids[@]}
  start_entry
  start_upstreams "$upstreams"
  await_ready "$(entry_port "$folder/e1.log" observability)"
  sleep 2
  run_load 64 8
  if [ "$upstreams" -eq 16 ]; then
    run_load 1 1
    run_load 1 8
    run_load 16 8
    run_load 410 8
  fi
  kill -KILL "${pids[@]:$first}"
done
