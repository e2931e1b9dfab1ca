# Shell functions for scripts that start the project's programs on loopback.
#
# Source this file after setting `build` to the folder of the programs. When the
# script exits, all processes started by `start` are killed by process id, and
# the temporary folder `work` is removed.

work=$(mktemp -d)
pids=()

# `limit`: timeout in seconds of one step; generous, for busy machines.
# `lifetime`: seconds after which stand-ins exit by themselves, in case the
# script is killed before it can end them.
limit=60
lifetime=600

stop_all() {
  local status=$?
  trap - EXIT INT TERM
  # SIGKILL, because entries drain on SIGTERM, and there are no jobs left to
  # drain.
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

# start <log> <program> <arguments...>: starts a program in the background and
# appends its process id to `pids`.
start() {
  local log=$1 program=$2
  shift 2
  "$build/$program" "$@" > "$log" 2>&1 &
  pids+=($!)
  # Keeps the shell from reporting each process that `stop_all` kills.
  disown
}

# await_value <log> <sed expression>: waits until the expression prints a value
# from the log, and prints the first one.
await_value() {
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
  fail "$(basename "$log" .log) did not report its port within $limit s"
}

# Ports that a stand-in or an entry has logged at its start.
# service_port <log>, control_port <log>, entry_port <log> <interface>
service_port() {
  await_value "$1" 's/^\{"control_port":[0-9]+,"port":([0-9]+),.*/\1/p'
}
control_port() {
  await_value "$1" 's/^\{"control_port":([0-9]+),.*/\1/p'
}
entry_port() {
  await_value "$1" "s/.*\"interface\":\"$2\".*\"port\":\"?([0-9]+).*/\1/p"
}

# post <URL> <body>
post() {
  curl --silent --show-error --fail --max-time "$limit" --output /dev/null \
    --data "$2" "$1"
}

# await_ready <observability port>: waits until the entry is ready.
await_ready() {
  local end=$((SECONDS + limit))
  until curl --silent --fail --max-time "$limit" --output /dev/null \
    "http://127.0.0.1:$1/readyz"; do
    [ "$SECONDS" -lt "$end" ] || fail "entry at port $1 not ready in $limit s"
    sleep 0.05
  done
}
