#!/usr/bin/env bash
# Runs both example deployments end to end on loopback.
#
# Usage: demo.sh <build folder>
#
# Starts the platform's stand-ins, upstreams and entries of each deployment as
# processes on ports that the system chooses, applies the deployment's sheet,
# submits its job files and prints each answer with its time. Exits non-zero if
# an answer is not the expected one. Ends everything that it started.
set -euo pipefail

build=$(cd "$1" && pwd)
examples=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
pids=()
failures=0

# Seconds that any one step may take on a busy machine, and the lifetime of
# stand-ins that lose this script.
limit=60
lifetime=600

stop_all() {
  local status=$?
  trap - EXIT INT TERM
  # Entries take SIGTERM as a request to drain; here nothing is left to drain.
  [ "${#pids[@]}" -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$work"
  exit "$status"
}
trap stop_all EXIT
trap 'exit 1' INT TERM

fail() {
  echo "demo: $*" >&2
  exit 1
}

# start <log> <program> <arguments...>
start() {
  local log=$1 program=$2
  shift 2
  "$build/$program" "$@" > "$log" 2>&1 &
  pids+=($!)
}

# await <log> <sed expression that prints the value>: waits for the first value.
await() {
  local log=$1 expression=$2 value
  local end=$((SECONDS + limit))
  while [ "$SECONDS" -lt "$end" ]; do
    value=$(sed -nE "$expression" "$log" 2>/dev/null | head -n 1)
    if [ -n "$value" ]; then
      echo "$value"
      return
    fi
    sleep 0.02
  done
  cat "$log" >&2
  fail "no start of $(basename "$log" .log)"
}

service_port() { await "$1" 's/^\{"control_port":[0-9]+,"port":([0-9]+),.*/\1/p'; }
control_port() { await "$1" 's/^\{"control_port":([0-9]+),.*/\1/p'; }
entry_port() {
  await "$1" "s/.*\"interface\":\"$2\".*\"port\":\"?([0-9]+).*/\1/p"
}

post() {
  curl --silent --show-error --fail --max-time "$limit" --output /dev/null \
    --data "$2" "$1"
}

# list <line of instances.json> <port>: puts the instance on the list.
list() {
  local line=${1%,}
  post "http://127.0.0.1:$instances_control/put" \
    "${line/\"port\": 0/\"port\": $2}"
}

name_of() { sed -E 's/.*"name": "([^"]+)".*/\1/' <<< "$1"; }

# Starts the entry of a settings file; its ports of the platform are filled in.
start_entry() {
  local name=$1
  sed -E -e "s/(\"key_value\":.*\"port\": )[0-9]+/\1$kv_port/" \
    -e "s/(\"instances\":.*\"port\": )[0-9]+/\1$instances_port/" \
    -e "s#operator\.token#$folder/operator.token#" \
    "$deployment/entries/$name.json" > "$folder/$name.json"
  start "$folder/$name.log" jaypickd "--settings=$folder/$name.json"
}

start_deployment() {
  echo "operator-token-of-the-demo" > "$folder/operator.token"
  start "$folder/kv.log" jaypick-standin-kv "--lifetime_s=$lifetime"
  start "$folder/instances.log" jaypick-standin-instances \
    "--lifetime_s=$lifetime"
  kv_port=$(service_port "$folder/kv.log")
  instances_port=$(service_port "$folder/instances.log")
  instances_control=$(control_port "$folder/instances.log")

  local line name port
  local lines
  mapfile -t lines < <(grep '"name"' "$deployment/instances.json")
  for line in "${lines[@]}"; do
    name=$(name_of "$line")
    if [[ $line == *'"role": "entry"'* ]]; then
      start_entry "$name"
    else
      start "$folder/$name.log" jaypick-standin-upstream \
        "--lifetime_s=$lifetime" --slots=8
    fi
  done

  callers=()
  operators=()
  for line in "${lines[@]}"; do
    name=$(name_of "$line")
    if [[ $line == *'"role": "entry"'* ]]; then
      port=$(entry_port "$folder/$name.log" peer_api)
      list "$line" "$port"
      port=$(entry_port "$folder/$name.log" caller_api)
      callers+=("127.0.0.1:$port")
      port=$(entry_port "$folder/$name.log" operator_api)
      operators+=("127.0.0.1:$port")
    else
      port=$(service_port "$folder/$name.log")
      list "$line" "$port"
    fi
  done
}

await_ready() {
  local end=$((SECONDS + limit))
  until curl --silent --fail --max-time "$limit" --output /dev/null \
    "http://127.0.0.1:$1/readyz"; do
    [ "$SECONDS" -lt "$end" ] || fail "an entry is not ready"
    sleep 0.05
  done
}

apply_sheet() {
  "$build/jaypick" config apply "$deployment/sheet.csv" \
    "--operator=${operators[0]}" "--token_file=$folder/operator.token" \
    --author=demo --wait > "$folder/apply.log" 2>&1 || {
    cat "$folder/apply.log" >&2
    fail "the sheet was not applied"
  }
  local log port
  for log in "$folder"/*-entry-*.log; do
    port=$(entry_port "$log" observability)
    await_ready "$port"
  done
}

# Submits each job file at the next entry and compares the answer.
submit_jobs() {
  local file answer results begin end index=0
  for file in "$deployment"/jobs/*.json; do
    begin=$(date +%s%N)
    answer=$("$build/jaypick" submit "$file" --json \
      "--entry=${callers[index % ${#callers[@]}]}" \
      2> "$folder/submit.log") || true
    end=$(date +%s%N)
    results=$(sed -E 's/.*"results":(\[.*\]).*/\1/' <<< "$answer")
    printf '%-12s %-20s %5d ms  %s\n' "$(basename "$deployment")" \
      "$(basename "$file" .json)" $(((end - begin) / 1000000)) "$answer"
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
  start_deployment
  apply_sheet
  submit_jobs
done
echo "demo: ${#pids[@]} processes, $failures unexpected answers"
[ "$failures" -eq 0 ]
