# Functions for scripts that start the project's programs on loopback.
#
# Source it after setting `build` (folder of the programs). All processes that
# `start` starts end with the script, by id.

work=$(mktemp -d)
pids=()

# Seconds that any one step may take on a busy machine, and the lifetime of
# stand-ins that lose their script.
limit=60
lifetime=600

stop_all() {
  local status=$?
  trap - EXIT INT TERM
  # Entries take SIGTERM as a request to drain; here nothing is left to drain.
  [ "${#pids[@]}" -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null || true
  rm -rf "$work"
  exit "$status"
}
trap stop_all EXIT
trap 'exit 1' INT TERM

fail() {
  echo "$(basename "$0"): $*" >&2
  exit 1
}

# start <log> <program> <arguments...>
start() {
  local log=$1 program=$2
  shift 2
  "$build/$program" "$@" > "$log" 2>&1 &
  pids+=($!)
  # Without this the shell reports each process that is killed at the end.
  disown
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

await_ready() {
  local end=$((SECONDS + limit))
  until curl --silent --fail --max-time "$limit" --output /dev/null \
    "http://127.0.0.1:$1/readyz"; do
    [ "$SECONDS" -lt "$end" ] || fail "an entry is not ready"
    sleep 0.05
  done
}
