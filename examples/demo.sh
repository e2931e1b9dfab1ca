#!/usr/bin/env bash
# Runs both example deployments end to end on loopback.
#
# Usage: demo.sh <build folder>
#
# For each deployment, starts the platform stand-ins, the upstreams and the
# entries as processes on ports that the operating system chooses, applies the
# sheet of the deployment, submits its job files and prints each answer with its
# response time. Exits with a non-zero status if an answer differs from the
# expected one. All processes are ended on exit.
set -euo pipefail

build=$(cd "$1" && pwd)
examples=$(cd "$(dirname "$0")" && pwd)
. "$examples/../tools/processes.sh"
failures=0

# add_instance <line of instances.json> <port>: adds the instance to the list.
add_instance() {
  local line=${1%,}
  post "http://127.0.0.1:$instances_control/put" \
    "${line/\"port\": 0/\"port\": $2}"
}

# name_of <line of instances.json>: prints the name of the instance.
name_of() { sed -E 's/.*"name": "([^"]+)".*/\1/' <<< "$1"; }

# start_entry <name>: starts an entry with its settings file, in which the ports
# of the platform stand-ins and the path of the operator token are filled in.
start_entry() {
  local name=$1
  sed -E -e "s/(\"key_value\":.*\"port\": )[0-9]+/\1$kv_port/" \
    -e "s/(\"instances\":.*\"port\": )[0-9]+/\1$instances_port/" \
    -e "s#operator\.token#$folder/operator.token#" \
    "$deployment/entries/$name.json" > "$folder/$name.json"
  start "$folder/$name.log" jaypickd "--settings=$folder/$name.json"
}

start_platform() {
  start "$folder/kv.log" jaypick-standin-kv "--lifetime_s=$lifetime"
  start "$folder/instances.log" jaypick-standin-instances \
    "--lifetime_s=$lifetime"
  kv_port=$(service_port "$folder/kv.log")
  instances_port=$(service_port "$folder/instances.log")
  instances_control=$(control_port "$folder/instances.log")
}

start_instances() {
  local line name
  for line in "${lines[@]}"; do
    name=$(name_of "$line")
    if [[ $line == *'"role": "entry"'* ]]; then
      start_entry "$name"
    else
      start "$folder/$name.log" jaypick-standin-upstream \
        "--lifetime_s=$lifetime" --slots=8
    fi
  done
}

add_instances() {
  local line log
  callers=()
  operators=()
  observability=()
  for line in "${lines[@]}"; do
    log=$folder/$(name_of "$line").log
    if [[ $line == *'"role": "entry"'* ]]; then
      add_instance "$line" "$(entry_port "$log" peer)"
      callers+=("127.0.0.1:$(entry_port "$log" caller)")
      operators+=("127.0.0.1:$(entry_port "$log" operators)")
      observability+=("$(entry_port "$log" observability)")
    else
      add_instance "$line" "$(service_port "$log")"
    fi
  done
}

apply_sheet() {
  local port
  "$build/jaypick" config apply "$deployment/sheet.csv" \
    "--operator=${operators[0]}" "--token_file=$folder/operator.token" \
    --author=demo --wait > "$folder/apply.log" 2>&1 || {
    cat "$folder/apply.log" >&2
    fail "applying $deployment/sheet.csv failed"
  }
  grep accepted "$folder/apply.log"
  for port in "${observability[@]}"; do
    await_ready "$port"
  done
}

# Submits the job files to the entries in turn, as a load balancer would, and
# compares the results with the expected ones.
submit_jobs() {
  local file answer results begin end index=0
  for file in "$deployment"/jobs/*.json; do
    begin=$(date +%s%N)
    answer=$("$build/jaypick" submit "$file" --json \
      "--entry=${callers[index % ${#callers[@]}]}" \
      2> "$folder/submit.log") || true
    end=$(date +%s%N)
    results=$(sed -E 's/.*"results":(\[.*\]).*/\1/' <<< "$answer")
    printf '  %-20s %5d ms  %s\n' "$(basename "$file" .json)" \
      $(((end - begin) / 1000000)) "$answer"
    if [ "$results" != "$(cat "${file%.json}.expected")" ]; then
      echo "demo: expected $(cat "${file%.json}.expected")" >&2
      cat "$folder/submit.log" >&2
      failures=$((failures + 1))
    fi
    index=$((index + 1))
  done
}

for deployment in "$examples/wig-banks" "$examples/order-desk"; do
  folder=$work/$(basename "$deployment")
  mkdir -p "$folder"
  echo "== $(basename "$deployment")"
  echo "operator-token-of-the-demo" > "$folder/operator.token"
  mapfile -t lines < <(grep '"name"' "$deployment/instances.json")
  start_platform
  start_instances
  add_instances
  apply_sheet
  submit_jobs
done
echo "demo: ${#pids[@]} processes, $failures unexpected answers"
[ "$failures" -eq 0 ]
