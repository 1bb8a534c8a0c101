#!/usr/bin/env bash
# Calls that stand, and a crowd that connects and stops half way: who is told that the calls are over?
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib.sh"

offices 8000 50
mapfile -t port < <("$STANDIN" ports 1)
ADDR=127.0.0.1:${port[0]}
cat >"$DIR/n0.json" <<END
{"name":"n0","listen":"$ADDR","seed":"8c1f30d27a5be960","limits":{"cores":1.0,"memory_mb":192,"sockets":128},
"journal":"$JOURNAL","known":$KNOWN,"settings":$(settings 1 0)}
END
printf '[goodput]\nenabled = true\n' >"$DIR/n0.toml"
instance n0
wait_for 10 serving n0 || cannot "n0 does not serve"
sleep 1

background caller "$STANDIN" keeping-caller "$ADDR" 60
sleep 2
if [ "$TROUBLE" != 0 ]; then
  background crowd "$STANDIN" half-clients "$ADDR" 200 12
  record "200 clients a second, for 12 s, connect, send half a request and stop"
fi
sleep 33
# The caller goes on calling, each second on a new connection. Counted are the calls that were over 9 s ago: the rule allows 1 s from
# the office's release, and 8 s where no release could be sent, each with 50 ms of slack. The longer one counts here.
by=$(($(now) - 9000))
lost=0 over=0
while read -r ended id; do
  [ "$ended" -le $by ] && recorded "caller answered id=$id status=200" || continue
  over=$((over + 1))
  released=$(awk -v id="id=$id" '$2 == "caller" && $3 == "released" && $4 == id {print $1; exit}' "$RECORD")
  if [ -z "$released" ] || [ $((released - ended)) -gt 8050 ]; then
    lost=$((lost + 1))
    record "not released towards its caller: id=$id"
  fi
done < <(awk '/call over, release sent/ {sub("id=", "", $NF); print $1, $NF}' "$RECORD")
[ $over -ge 10 ] || cannot "only $over calls came to their end"
strangers=$(grep -c 'which never sent a whole request, received BYE' "$RECORD")
if [ $lost -gt 0 ]; then
  record "BROKEN: $lost of $over calls that are over were not released towards their caller; $strangers releases went to clients that never called"
  exit 1
fi
record "held: all $over calls that are over were released towards their caller"
exit 0
