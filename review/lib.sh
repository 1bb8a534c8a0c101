# Shared by the cases' scripts: a temporary folder, the record, the start and the end of processes. Sourced with HERE set to
# the case's folder.
set -uo pipefail
ROOT=$(cd "$HERE/../.." && pwd)
TROUBLE=${TROUBLE:-1}
DIR=$(mktemp -d)
export TMPDIR=$DIR RECORD=$HERE/record.txt
STANDIN=$ROOT/bin/review-standin
MASTHILL=$ROOT/bin/masthill
TOKEN=a-token-of-station-7-0123456789
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
PIDS=()
: >"$RECORD"

now() { echo $(($(date +%s%N) / 1000000)); }
record() { echo "$(now) script $*" >>"$RECORD"; }
cannot() { record "could not run: $*"; echo "could not run: $*" >&2; exit 2; }

# background starts a command with its output in a log, and remembers its process. PID is its id.
background() {
  local log=$1
  shift
  "$@" >"$DIR/$log.log" 2>&1 &
  PID=$!
  PIDS+=("$PID")
}

# finish ends all processes that were started, by id, and removes the temporary folder.
finish() {
  local code=$? pid
  for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null; done
  for _ in $(seq 100); do
    local left=0
    for pid in "${PIDS[@]}"; do kill -0 "$pid" 2>/dev/null && left=1; done
    [ $left = 0 ] && break
    sleep 0.1
  done
  for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  if [ -n "${KEEP:-}" ]; then echo "kept: $DIR" >&2; else rm -rf "$DIR"; fi
  exit $code
}
trap finish EXIT
trap 'exit 2' INT TERM

# wait_for waits up to SECONDS until a command succeeds.
wait_for() {
  local end=$(($(now) + $1 * 1000))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$(now)" -lt $end ] || return 1
    sleep 0.05
  done
}

# recorded tells whether a line of the record has a text.
recorded() { grep -qF -- "$1" "$RECORD"; }

# instance starts a session controller with the deploy file's run: instance NAME, with NAME.json and NAME.toml in $DIR.
instance() { # the shell of run becomes the program by its exec, so that PID is the program's
  cd "$ROOT" || cannot "no root"
  PROXY_CONFIG=$DIR/$1.json MASTHILL_SETTINGS=$DIR/$1.toml MASTHILL_SOCKET=$DIR/$1.sock background "$1" sh -c "$RUN"
}

# serving tells whether an instance has said that it serves.
serving() { grep -q 'msg=serving ' "$DIR/$1.log"; }

# settings prints the platform's settings for a fleet of COUNT.
settings() {
  cat <<END
{"group_size":$1,"ordinal":${2:-0},"discovery":"pushed","extra":{"class_cells":[[0,1]],"clear_wait_ns":300000000,"this_node":-1,
"topology":"groups","says_wait":true,"peer_load":"answers"},"grades":[{"name":"open-log","aim_ns":1200000000,
"deadline_ns":9000000000,"effect":"free","late_value":0.25,"worth":1.0,"stream":true}],"limits":{"max_attempts":4,
"may_cancel":true,"retry_after":true,"max_retry_after_ns":2000000000,"connect_timeout_ns":500000000},
"tenants":[{"name":"slaney-vines","fraction":0.55,"quota_per_s":16},{"name":"barrow-estate","fraction":0.33,"quota_per_s":10},
{"name":"suir-growers","fraction":0.12,"quota_per_s":3}],"feedback":{"fields":["spare","total","cpu","waiting"],
"source":"answers"},"resolution_ns":5000000,"rules":{"cold_from":0.31,"cold_ns":15000000000,"drain_grace_ns":1000000000,
"fall_multiple":2.0,"fall_ns":1000000000}}
END
}

# offices starts two offices whose calls last LENGTH_MS and that answer after DELAY_MS, and the journal service that lists
# them. JOURNAL is its address, KNOWN the list.
offices() {
  local port=() k servers=""
  mapfile -t port < <("$STANDIN" ports 3)
  for k in 0 1; do
    background "office$k" "$STANDIN" office "127.0.0.1:${port[k]}" "office$k" "$1" "$2"
    servers+="${servers:+,}{\"id\":\"s-000000a$k\",\"addr\":\"127.0.0.1:${port[k]}\",\"zone\":\"cork\",\"kind\":\"std\",\"cell\":$k,\"state\":\"SERVING\",\"weight\":4,\"started_ms\":0}"
  done
  echo "{\"pos\":1,\"hosts\":{\"version\":1,\"full\":true,\"servers\":[$servers]}}" >"$DIR/events"
  JOURNAL=127.0.0.1:${port[2]}
  KNOWN="{\"pos\":1,\"entries\":[$(cat "$DIR/events")]}"
  background journal "$STANDIN" list "$JOURNAL" "$DIR/events"
  wait_for 5 "$STANDIN" http GET "http://$JOURNAL/none" || cannot "the journal service does not start"
}
