#!/usr/bin/env bash
# Other keepers, named in a rolling restart: does one process hand budgets out, or two?
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib.sh"
INSTANCES=5
NET=127.$((20 + RANDOM % 200)).$((RANDOM % 250))

offices 3000 50
mapfile -t port < <("$STANDIN" ports $((2 + INSTANCES)))
background office2 "$STANDIN" office "127.0.0.1:${port[0]}" office2 3000 50
SEEDS="" ADDRS=() AUDITS=()
for k in $(seq 0 $((INSTANCES - 1))); do
  SEEDS+="${SEEDS:+, }\"n$k/$NET.$((10 + k)):${port[1]}\""
  ADDRS+=("127.0.0.1:${port[$((2 + k))]}")
  AUDITS+=("$DIR/n$k.audit")
done
PROCESS=()
# start starts instance K with the given keepers, and waits until it serves.
start() {
  cat >"$DIR/n$1.json" <<END
{"name":"n$1","listen":"${ADDRS[$1]}","seed":"$(printf %016x $RANDOM$RANDOM)","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"journal":"$JOURNAL","known":$KNOWN,"settings":$(settings $INSTANCES "$1" | sed "s/\[\[0,1\]\]/[[0,1,2]]/")}
END
  cat >"$DIR/n$1.toml" <<END
[goodput]
enabled = true
[peers]
listen = "$NET.$((10 + $1)):${port[1]}"
site = "cork"
machine = "m$1"
seeds = [$SEEDS]
keys = ["bWFzdGhpbGwtbGFiLWtleQ=="]
keepers = [$2]
budgets = true
audit = "$DIR/n$1.audit"
[socket]
path = "$DIR/n$1.sock"
END
  mkdir -p "$DIR/tmp$1"
  TMPDIR=$DIR/tmp$1 instance "n$1"
  PROCESS[$1]=$PID
  wait_for 10 serving "n$1" || cannot "n$1 does not serve"
}
# restart ends an instance in order and starts it again.
restart() {
  record "SIGTERM to n$1"
  kill -TERM "${PROCESS[$1]}"
  wait "${PROCESS[$1]}" 2>/dev/null
  start "$1" "$2"
  record "n$1 serves again, keepers $2"
}
allocators() { grep -h 'hands budgets out' "$DIR"/n?.log; }
# watch asks all instances twice a second whether they hand budgets out, as an operator would. It records who says so whenever
# that changes, and how often running two or more did.
watch() {
  local k said before="" running=0
  while sleep 0.5; do
    said=""
    for k in $(seq 0 $((INSTANCES - 1))); do
      "$MASTHILL" peers --json --socket "$DIR/n$k.sock" 2>/dev/null | grep -q '"reigns": true' && said+=" n$k"
    done
    [ "$said" = "$before" ] || record "masthill peers: allocator by its own word:${said:- none}"
    before=$said
    if [ "$(wc -w <<<"$said")" -ge 2 ]; then running=$((running + 1)); else running=0; fi
    [ $running != 3 ] || record "masthill peers: two allocators in three looks running:$said"
  done
}

OLD='"n2", "n3", "n4"' NEW='"n0", "n1", "n2"'
[ "$TROUBLE" != 0 ] || NEW=$OLD
for k in $(seq 0 $((INSTANCES - 1))); do start "$k" "$OLD"; done
background load "$STANDIN" load 36 60 "${ADDRS[@]}"
wait_for 15 allocators || cannot "nobody hands budgets out"
sleep 3
background watch watch
# One of five at a time, each 5 s after the one before: 25 s in all.
restart 0 "$NEW"
sleep 4
restart 1 "$NEW"
sleep 3
# A new office comes into service, cold, so that there is a budget.
sed 's/"full":true/"full":false/;s/"version":1/"version":2/;s/"pos":1/"pos":2/;s/"servers":.*/"servers":/' "$DIR/events" | tr -d '\n' >"$DIR/event2"
echo "[{\"id\":\"s-000000a2\",\"addr\":\"127.0.0.1:${port[0]}\",\"zone\":\"cork\",\"kind\":\"std\",\"cell\":2,\"state\":\"SERVING\",\"weight\":4,\"started_ms\":$(now)}]}}" >>"$DIR/event2"
cat "$DIR/event2" >>"$DIR/events"
record "a new office, office2, is listed, cold"
sleep 3
restart 2 "$NEW"
sleep 4
restart 3 "$NEW"
sleep 4
restart 4 "$NEW"
sleep 4
grep -h 'hands budgets out' "$DIR"/n?.log | sed "s/^/$(now) log /" >>"$RECORD"
"$STANDIN" audit $INSTANCES "${AUDITS[@]}"
audited=$?
[ $audited -le 1 ] || cannot "the audit files can't be read"
if [ $audited = 1 ] || recorded "two allocators in three looks running"; then
  record "BROKEN: two processes handed the same budgets out"
  exit 1
fi
record "held: one allocator at a time, and no budget overspent"
exit 0
