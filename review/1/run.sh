#!/usr/bin/env bash
# Calls that stand, whose connections their caller has closed, and clients that connect and say nothing: who is told that the
# calls are over?
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib.sh"
CALLS=5

offices 8000 50
mapfile -t port < <("$STANDIN" ports 1)
ADDR=127.0.0.1:${port[0]}
cat >"$DIR/n0.json" <<END
{"name":"n0","listen":"$ADDR","seed":"8c1f30d27a5be960","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"journal":"$JOURNAL","known":$KNOWN,"settings":$(settings 1 0)}
END
printf '[goodput]\nenabled = true\n' >"$DIR/n0.toml"
instance n0
wait_for 10 serving n0 || cannot "n0 does not serve"
sleep 1

if [ "$TROUBLE" != 0 ]; then
  background silent "$STANDIN" silent-clients "$ADDR" 20 20
  record "20 clients a second connect and say nothing"
fi
background caller "$STANDIN" closing-caller "$ADDR" $CALLS
over() { [ "$(grep -c 'call over, release sent' "$RECORD")" = $CALLS ]; }
wait_for 25 over || cannot "not all calls came to their end"
# The rule allows 1 s from the office's release, and 8 s where no release could be sent, each with 50 ms of slack. The longer one counts here.
sleep 9
lost=0
while read -r ended id; do
  released=$(awk -v id="id=$id" '$2 == "caller" && $3 == "released" && $4 == id {print $1; exit}' "$RECORD")
  if [ -z "$released" ] || [ $((released - ended)) -gt 8050 ]; then
    lost=$((lost + 1))
    record "not released towards its caller: id=$id"
  fi
done < <(awk '/call over, release sent/ {sub("id=", "", $NF); print $1, $NF}' "$RECORD")
if [ $lost -gt 0 ]; then
  record "BROKEN: $lost of $CALLS calls that are over were not released towards their caller; $(grep -c 'which never sent anything, received BYE' "$RECORD") releases went to clients that never called"
  exit 1
fi
record "held: all $CALLS calls were released towards their caller"
exit 0
