#!/usr/bin/env bash
# Checks that a new build works with the data of an old one and beside it.
# Usage: compatibility.sh <old folder> <new folder> [<seed> [<seeds> [<seconds>]]]
#
# Runs the wig-banks example with entries of both builds on one store, and the
# fault soak with nodes that change between the builds at each start. Prints each
# check and fails if one does. A seed that fails leaves soak-logs/compatibility-*.
set -euo pipefail
old=$(cd "${1:?folder of the old programs}" && pwd)
new=$(cd "${2:?folder of the new programs}" && pwd)
first_seed=${3:-1} seeds=${4:-4} seconds=${5:-15}
cd "$(dirname "$0")/.."
build=$old
. tools/processes.sh
deployment=examples/wig-banks
replaced=({ghent,antwerp,leuven}-entry-1) kept=({ghent,antwerp,leuven}-entry-2)
declare -A pid_of log_of
revision=1 old_to_new=0 new_to_old=0 failures=0

# check <text> <function> <arguments...>: the function may measure a `detail`.
check() {
  verdict=ok detail=
  "${@:2}" || verdict=FAILED failures=$((failures + 1))
  printf '%-6s  %s%s\n' "$verdict" "$1" "${detail:+: $detail}"
}

# launch <name>: starts the entry or upstream from `build` and lists its port.
launch() {
  local log=$work/$1-$revision.log port line
  if [ -f "$work/$1.json" ]; then
    start "$log" jaypickd "--settings=$work/$1.json"
    port=$(entry_port "$log" peer)
  else
    start "$log" jaypick-standin-upstream "--lifetime_s=$lifetime" --slots=8
    port=$(service_port "$log")
  fi
  pid_of[$1]=${pids[-1]} log_of[$1]=$log
  line=$(sed -nE "s/\"port\": 0/\"port\": $port/; /\"$1\"/{
    s/(\"generation\": )1/\1$revision/; s/,$//; p; }" "$deployment/instances.json")
  post "http://127.0.0.1:$instances_control/put" "$line"
  revision=$((revision + 1))
}

start_deployment() {
  local name
  echo "operator-token-of-the-check" > "$work/operator.token"
  start "$work/kv.log" jaypick-standin-kv "--lifetime_s=$lifetime"
  start "$work/list.log" jaypick-standin-instances "--lifetime_s=$lifetime"
  instances_control=$(control_port "$work/list.log")
  for name in $(sed -nE 's/.*"name": "([^"]+)".*/\1/p' "$deployment/instances.json"); do
    # Refused jobs are logged at the level debug only.
    [[ $name != *-entry-* ]] ||
      sed -E "s/(\"key_value\":.*: )[0-9]+/\1$(service_port "$work/kv.log")/
        s/(\"instances\":.*: )[0-9]+/\1$(service_port "$work/list.log")/
        s#operator\.token#$work/operator.token#
        1s/^\{/{\"log\": {\"level\": \"debug\"},/" \
        "$deployment/entries/$name.json" > "$work/$name.json"
    launch "$name"
  done
}

port_of() { entry_port "${log_of[$1]}" "$2"; }

# ask <folder of the tool> <entry> <command...>
ask() {
  local flags=("--entry=127.0.0.1:$(port_of "$2" caller)")
  [[ $3 = submit || $3 = status ]] || flags=("--token_file=$work/operator.token"
    "--operator=127.0.0.1:$(port_of "$2" operators)")
  "$1/jaypick" "${@:3}" "${flags[@]}" --json 2>> "$work/tools.log"
}

# replace <folder>: drains the entries of `replaced` and starts them from there.
replace() {
  local name
  build=$1
  for name in "${replaced[@]}"; do kill -TERM "${pid_of[$name]}"; done
  for name in "${replaced[@]}"; do
    while kill -0 "${pid_of[$name]}" 2> /dev/null; do sleep 0.1; done
    # The system may give the id to a process of others.
    mapfile -t pids < <(printf '%s\n' "${pids[@]}" | grep -vx "${pid_of[$name]}")
    launch "$name"
    await_ready "$(port_of "$name" observability)"
  done
}

# agree <text> <command...>: both tools print the same, with the text, at all
# entries. What entries know of each other may lag behind by an exchange.
agree() {
  local name log=$work/agree.log end=$((SECONDS + limit))
  : > "$log"
  until [ "$(sort -u "$log" | wc -l)" -eq 1 ] && grep -q "$1" "$log"; do
    [ "$SECONDS" -lt "$end" ] || return 1
    for name in "${kept[@]}" "${replaced[@]}"; do
      ask "$old" "$name" "${@:2}" || echo "old tool failed at $name"
      ask "$new" "$name" "${@:2}" || echo "new tool failed at $name"
    done > "$log"
  done
}

agree_all() {
  check "$1: instances" agree "\"revision\":$revision," instances
  check "$1: configuration" agree "\"version\":$2[,}]" config show
  check "$1: audit trail" agree "\"version\":$2[,}]" audit
}

# apply <tool> <entry> <sheet> <version>: all entries have the version in force.
apply() {
  ask "$1" "$2" config check "$3" > "$work/answer" &&
    ask "$1" "$2" config apply "$3" --author=check --wait \
      "--wait_timeout_ms=${limit}000" > "$work/answer" &&
    grep -q "\"version\":$4}" "$work/answer"
}

# run_jobs <tool>: all entries complete each job and refuse one that ends late.
run_jobs() {
  local name file
  sed 's/"run_ms": 600/"run_ms": 5000/; s/10000/400/' \
    "$deployment/jobs/1-match-wig.json" > "$work/late.json"
  for name in "${kept[@]}" "${replaced[@]}"; do
    for file in "$deployment"/jobs/*.json; do
      [[ $(ask "$1" "$name" submit "$file") = *":$(cat "${file%.json}.expected")}" ]] ||
        return 1
    done
    ! ask "$1" "$name" submit "$work/late.json" > "$work/answer" &&
      grep -q '"status":"refused"' "$work/answer" || return 1
  done
}

# cross <tool> <entry> <tool> <other entry>: the other entry forwards calls about
# a job of the first one, and all answers are the same.
cross() {
  local file=$deployment/jobs/1-match-wig.json id answer
  id=$(ask "$1" "$2" submit "$file" --async | sed -E 's/.*"id":"([^"]+)".*/\1/')
  answer=$(ask "$3" "$4" status "$id" --owner=ghent-bank --wait) &&
    [[ $answer = *":$(cat "${file%.json}.expected")}" ]] &&
    [ "$(ask "$3" "$4" submit "$file" "--id=$id")" = "$answer" ] &&
    [ "$(ask "$1" "$2" submit "$file" "--id=$id")" = "$answer" ] &&
    curl --silent "http://127.0.0.1:$(port_of "$4" observability)/metrics" |
    grep '^jaypick_calls_forwarded_total [1-9]' > /dev/null
}

# same <function> <arguments...>: the function prints the same for both builds.
same() {
  local side
  for side in old new; do
    "$1" "${!side}" "${@:2}" > "$work/$side.text" || return 1
  done
  detail="$(wc -l < "$work/new.text") lines"
  [ -s "$work/old.text" ] && diff "$work/old.text" "$work/new.text"
}

# settings <folder> <program> <files...>: prints places of findings in broken ones.
settings() {
  local file edit
  for file in "${@:3}"; do
    "$1/$2" --check "--settings=$file" || return 1
    for edit in 's/"failure_domain":/"failure_domian":/' 's/"127[^"]*"/7/' 's/.*}$//'; do
      sed -E "$edit" "$file" > "$work/broken.json"
      "$1/$2" --check "--settings=$work/broken.json" 2>&1 || echo "code $?"
    done | sed -E 's#^([^ ]+:[0-9]+:[0-9]+:)( /[^ ]*:)? .*#\1\2#'
  done
}

# explain <folder> <lines> <logs...>: explains jobs that the lines are about.
explain() {
  local id
  for id in $(sed -nE 's/.*"id":"([^"]+)".*/\1/p' "$2" | sort -u | head -n 30); do
    "$1/jaypick" explain "$id" "--logs=$(IFS=,; echo "${*:3}")" || return 1
  done
}

# Makes a jaypick-node that starts the nodes of both builds in turn and writes to
# the log whose lines follow. At first, each failure domain has one of each.
make_mixed_build() {
  mkdir "$work/mixed"
  cp "$new/jaypick_tests" "$work/mixed/"
  export old new
  cat > "$work/mixed/jaypick-node" << 'END'
#!/usr/bin/env bash
trap '' HUP # As the node does until it handles the signal.
number=${1##*/n} log=${1#--settings=} build=old
number=${number%.json} log=${log%.json}.log
turn=$((number + number / 2 + $(grep -c '"program"' "$log")))
[ $((turn % 2)) -eq 0 ] || build=new
echo "{\"program\":\"$build\"}"
exec "${!build}/jaypick-node" "$@"
END
  chmod +x "$work/mixed/jaypick-node"
}

# soak <seed> <folder>: no violation. Counts how often a build won the command of
# a domain after the other one; the tokens of a domain rise.
soak() {
  local to_new to_old status=0
  SOAK_SEED=$1 SOAK_SECONDS=$seconds SOAK_FOLDER=$2 "$work/mixed/jaypick_tests" \
    --filter 'soak/seeded*' > "$2/run.log" 2>&1 || status=$?
  read -r to_new to_old < <(sed -nE 's/.*"program":"(old|new)".*/\1/p
    s/.*"command_won","domain":"([^"]+)","token":"([0-9]+)".*/\1 \2/p' "$2"/n?.log |
    awk 'NF == 1 { build = $1 } NF == 2 { print $0, build }' | sort -k1,1 -k2,2n |
    awk '$1 == domain && $3 != build { ++count[$3] } { domain = $1; build = $3 }
      END { print count["new"] + 0, count["old"] + 0 }')
  old_to_new=$((old_to_new + to_new)) new_to_old=$((new_to_old + to_old))
  detail="$to_new commands taken old to new, $to_old new to old; \
$(grep -aE '^soak seed|violation:' "$2/run.log")"
  return "$status"
}

check_nodes() {
  local seed folder before
  make_mixed_build
  for ((seed = first_seed; seed < first_seed + seeds; ++seed)); do
    before=$failures folder=$PWD/soak-logs/compatibility-$seed
    rm -rf "$folder" && mkdir -p "$folder"
    check "nodes of both builds, seed $seed" soak "$seed" "$folder"
    awk '/"program":"/ { old = /"old"/ } old' "$folder"/n?.log > "$work/lines"
    check "nodes: explain" same explain "$work/lines" "$folder"/n?.log
    check "nodes: settings" same settings jaypick-node "$folder"/n?.json
    [ "$failures" -gt "$before" ] || rm -rf "$folder"
  done
  detail="$old_to_new old to new, $new_to_old new to old"
  check "commands taken, $detail" [ $((old_to_new * new_to_old)) -gt 0 ]
}

check_entries() {
  local a=${kept[0]} b=${replaced[0]} sheet=$deployment/sheet.csv
  start_deployment
  check "old tool applies a sheet at an old entry" apply "$old" "$a" "$sheet" 1
  agree_all "old entries" 1
  check "old entries: jobs" run_jobs "$old"
  cat "${log_of[@]}" > "$work/lines"
  check "old entries: explain" same explain "$work/lines" "${log_of[@]}"
  check "old entries: settings" same settings jaypickd "$work"/*-entry-?.json
  replace "$new"
  agree_all "entries of both builds" 1
  check "entries of both builds: jobs" run_jobs "$new"
  check "job of an old entry at a new one" cross "$old" "$a" "$new" "$b"
  check "job of a new entry at an old one" cross "$new" "$b" "$old" "$a"
  sed 's/,60$/,55/; s/,40$/,45/' "$sheet" > "$work/sheet.csv"
  check "new tool applies a change" apply "$new" "$b" "$work/sheet.csv" 2
  ask "$new" "$b" config apply "$sheet" --author=late --base_version=1 \
    > "$work/answer" && fail "an outdated change was accepted"
  agree_all "after a change by the new tool" 2
  check "old tool applies a change" apply "$old" "$a" "$sheet" 3
  agree_all "after a change by the old tool" 3
}

check_entries
check_nodes
[ "$failures" -eq 0 ]
