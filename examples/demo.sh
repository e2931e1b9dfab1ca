#!/usr/bin/env bash
# Runs the example deployments end to end as separate processes on loopback.
#
# Usage: demo.sh <build folder>
#
# For each deployment: stand-ins of the platform, two upstreams and two entries
# in each of three failure domains, the sheet, and the job files. Prints each
# job's answer with its timing, and fails if one is not as expected.
set -euo pipefail

build=$(cd "$1" && pwd)
examples=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
pids=()

# Stand-ins that lose this script still end by themselves.
lifetime=--lifetime_s=300

stop_all() {
  [ "${#pids[@]}" -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

# Starts a program with its output in a log; sets `log`.
start() {
  local name=$1
  shift
  log=$work/$name.log
  "$build/$@" > "$log" 2>&1 &
  pids+=("$!")
}

# Prints the first match of a pattern's group 1 in a log, and waits for it.
wait_for() {
  local file=$1 pattern=$2 tries found
  for ((tries = 0; tries < 600; ++tries)); do
    found=$(sed -nE "s/.*$pattern.*/\\1/p" "$file" | head -n 1)
    if [ -n "$found" ]; then
      echo "$found"
      return
    fi
    sleep 0.1
  done
  echo "no \"$pattern\" in the output of $(basename "$file"):" >&2
  cat "$file" >&2
  return 1
}

ready_port() { wait_for "$1" '"port":([0-9]+)'; }
control_port() { wait_for "$1" '"control_port":([0-9]+)'; }
entry_port() {
  wait_for "$1" "\"listening\",\"interface\":\"$2\",.*\"port\":\"([0-9]+)\""
}
field() { sed -nE "s/.*\"$2\": *\"?([^\",}]*)\"?.*/\\1/p" <<< "$1"; }

list_instance() {
  curl -fsS -o "$work/put" --data "$1" \
    "http://127.0.0.1:$instances_control/put"
}

start_upstream() {
  local line=$1 name
  name=$(field "$line" name)
  start "$name" jaypick-standin-upstream $lifetime
  list_instance "${line/\"port\": 0/\"port\": $(ready_port "$log")}"
}

start_entry() {
  local deployment=$1 line=$2 name
  name=$(field "$line" name)
  sed -e "s/2379/$kv_port/" -e "s/2380/$instances_port/" \
    "$examples/$deployment/entries/$name.json" > "$work/$name.json"
  start "$name" jaypickd "--settings=$work/$name.json"
  list_instance "${line/\"port\": 0/\"port\": $(entry_port "$log" peer)}"
  entries+=("--entry=127.0.0.1:$(entry_port "$log" caller)")
  operators+=("$(entry_port "$log" operators)")
  observability+=("$(entry_port "$log" observability)")
}

wait_ready() {
  local port tries
  for port in "${observability[@]}"; do
    for ((tries = 0; tries < 600; ++tries)); do
      curl -fsS -o "$work/ready" "http://127.0.0.1:$port/readyz" \
        2> /dev/null && break
      sleep 0.1
    done
    [ "$tries" -lt 600 ] || { echo "an entry is not ready" >&2; return 1; }
  done
}

run_job() {
  local file=$1 expected=${1%.json}.expected answer began ended
  # Jobs go to the entries in turn, as a balancer would send them.
  local entry=${entries[$((jobs % ${#entries[@]}))]}
  jobs=$((jobs + 1))
  began=$(date +%s%N)
  answer=$("$build/jaypick" submit "$file" "$entry" --json)
  ended=$(date +%s%N)
  printf '  %-22s %4d ms  %s\n' "$(basename "$file" .json)" \
    $(((ended - began) / 1000000)) "$answer"
  if ! grep -qF "$(cat "$expected")" <<< "$answer"; then
    echo "expected: $(cat "$expected")" >&2
    return 1
  fi
}

run_deployment() {
  local deployment=$1 line
  entries=()
  operators=()
  observability=()
  jobs=0
  echo "== $deployment"
  printf 'example-operator-token\n' > "$work/operator.token"
  start "$deployment-kv" jaypick-standin-kv $lifetime
  kv_port=$(ready_port "$log")
  start "$deployment-instances" jaypick-standin-instances $lifetime
  instances_port=$(ready_port "$log")
  instances_control=$(control_port "$log")
  while IFS= read -r line; do
    line=${line%,}
    case $line in
      *'"role": "upstream"'*) start_upstream "$line" ;;
      *'"role": "entry"'*) start_entry "$deployment" "$line" ;;
    esac
  done < "$examples/$deployment/instances.json"
  "$build/jaypick" config apply "$examples/$deployment/sheet.csv" --wait \
    "--operator=127.0.0.1:${operators[0]}" \
    "--token_file=$work/operator.token" --author=demo
  wait_ready
  for line in "$examples/$deployment"/jobs/*.json; do
    run_job "$line"
  done
  stop_all
}

cd "$work"
run_deployment wig-banks
run_deployment order-desk
echo "all answers as expected"
