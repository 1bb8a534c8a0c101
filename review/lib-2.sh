# Shared by the scripts of the cases 6 and up; sourced with HERE set to the case's folder. It has the temporary folder, the
# record, the start and the end of processes, and the settings of a small deployment.
set -uo pipefail
ROOT=$(cd "$HERE/../.." && pwd)
TROUBLE=${TROUBLE:-1}
DIR=$(mktemp -d)
export RECORD=$HERE/record.txt
STANDIN=$ROOT/bin/review-standin-2
MASTHILL=$ROOT/bin/masthill
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
PIDS=()
: >"$RECORD"

now() { date +%s%3N; }
note() { echo "$(now) script $*" >>"$RECORD"; }
cannot() { note "could not run: $*"; echo "could not run: $*" >&2; exit 2; }

# begin starts a command in the background with its output in a log. PID is its id.
begin() {
  local log=$1
  shift
  "$@" >>"$DIR/$log.log" 2>&1 &
  PID=$!
  PIDS+=("$PID")
}

# finish ends all processes that were started, by id, and removes the temporary folder.
finish() {
  local code=$? pid left
  trap - EXIT INT TERM
  for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill "$pid" 2>/dev/null; done
  for _ in $(seq 60); do
    left=0
    for pid in "${PIDS[@]}"; do kill -0 "$pid" 2>/dev/null && left=1; done
    [ $left = 0 ] && break
    sleep 0.1
  done
  for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  if [ -n "${KEEP:-}" ]; then echo "kept: $DIR" >&2; else rm -rf "$DIR"; fi
  exit "$code"
}
trap finish EXIT
trap 'exit 2' INT TERM

# until_ok waits up to SECONDS until a command succeeds.
until_ok() {
  local end=$(($(now) + $1 * 1000))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$(now)" -lt $end ] || return 1
    sleep 0.02
  done
}

# controller starts a session controller with the deploy file's run: controller NAME, with NAME.json in $DIR, and the
# operators' settings in NAME.toml if there are such. Its TMPDIR is new unless KEEPTMP names one.
controller() {
  local tmp=${KEEPTMP:-$(mktemp -d "$DIR/tmp.XXXXXX")} settings=deploy/masthill.toml
  [ -f "$DIR/$1.toml" ] && settings=$DIR/$1.toml
  cd "$ROOT" || cannot "no root"
  TMPDIR=$tmp PROXY_CONFIG=$DIR/$1.json MASTHILL_SETTINGS=$settings begin "${2:-$1}" sh -c "$RUN"
}

# serving tells whether a log says COUNT times that its controller serves.
serving() { [ "$(grep -c 'msg=serving ' "$DIR/$1.log")" -ge "${2:-1}" ]; }

ended() { ! kill -0 "$1" 2>/dev/null; }

# server prints one entry of the list of offices: server NUMBER PORT STATE [SCHEME].
server() {
  echo "{\"id\":\"s-000000a$1\",\"addr\":\"${4:-}127.0.0.1:$2\",\"zone\":\"cork\",\"kind\":\"std\",\"cell\":$1,\"state\":\"$3\",\"weight\":4,\"started_ms\":0}"
}

# settings prints the platform's settings: settings CONTROLLERS ORDINAL POOLS.
settings() {
  local pools
  pools=$(seq -s, 0 $(($3 - 1)))
  cat <<END
{"azs":["wexford","cork","kilkenny","galway"],"clients":{"marks_retry":true},"discovery":"pushed",
"extra":{"centre_advises":false,"class_cells":[[$pools]],"class_hold_ns":[10100000000],"clear_wait_ns":300000000,
"peer_load":"answers","says_wait":true,"t1_ns":0,"this_node":-1,"topology":"groups","widths":[1]},"family":"trunks",
"feedback":{"fields":["spare","total","cpu","waiting"],"source":"answers"},
"goal":{"whole":0.7,"worst_class":0.0,"worst_tenant":0.1,"worst_window":0.2},
"grades":[{"aim_ns":1200000000,"deadline_ns":9000000000,"effect":"free","key_scope":"all","late_value":0.25,
"name":"open-log","stream":true,"window_ns":5000000000,"worth":1.0}],"group_size":$1,"layer":0,
"limits":{"connect_timeout_ns":500000000,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"idle_close_ns":600000000000,
"max_attempts":4,"max_retry_after_ns":2000000000,"max_streams":1048576,"may_cancel":true,"most_held":20000,"peers":false,
"probes":false,"retry_after":true,"second_copies":false},"machine_types":["single-core"],"ordinal":$2,
"over_share_worth":0.05,"resolution_ns":5000000,"rules":{"answer_slack_ns":20000000,"ask_within_ns":10000000000,
"cold_from":0.31,"cold_ns":15000000000,"drain_grace_ns":1000000000,"fall_multiple":2.0,"fall_ns":1000000000},
"tenants":[{"fraction":0.55,"name":"slaney-vines","quota_per_s":16.0},{"fraction":0.33,"name":"barrow-estate",
"quota_per_s":10.0},{"fraction":0.12,"name":"suir-growers","quota_per_s":3.0}],"tiers":["session-servers"],
"value_by":"request","weights":"none","zone":1}
END
}

# platform writes a controller's file: platform NAME LISTEN JOURNAL EVENT CONTROLLERS ORDINAL POOLS [ADMIN]. EVENT is the
# whole list, as the first event.
platform() {
  cat >"$DIR/$1.json" <<END
{"name":"$1","listen":"$2","seed":"$(printf '%016x' $((RANDOM * 32768 * 32768 + RANDOM * 32768 + RANDOM)))",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},${8:+\"admin\":\"$8\",}
"journal":"$3","known":{"pos":1,"entries":[$4]},"settings":$(settings "$5" "$6" "$7")}
END
}

# whole prints the first event of the list, of the given entries.
whole() {
  local IFS=,
  echo "{\"pos\":1,\"hosts\":{\"version\":1,\"full\":true,\"servers\":[$*]}}"
}
