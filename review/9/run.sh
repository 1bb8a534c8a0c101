#!/usr/bin/env bash
# Calls of a class whose effect is single_shot come 0.2 s after the controller is told to end, and are out at offices when it
# does. Are they answered as "trying again is harmless"? TROUBLE=0: no SIGTERM.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib-2.sh"
mapfile -t port < <("$STANDIN" ports 4)
[ ${#port[@]} = 4 ] || cannot "no ports"
list=()
for k in 0 1; do
  begin "office$k" "$STANDIN" office "127.0.0.1:${port[k]}" "office$k"
  list+=("$(server "$k" "${port[k]}" SERVING)")
done
journal=127.0.0.1:${port[2]}
whole "${list[@]}" >"$DIR/events"
begin journal "$STANDIN" journal "$journal" "$DIR/events"
until_ok 5 "$STANDIN" status "http://$journal/none" || cannot "the journal service does not start"
platform n0 "127.0.0.1:${port[3]}" "$journal" "$(whole "${list[@]}")" 5 0 2
sed -i 's/"effect":"free"/"effect":"single_shot"/' "$DIR/n0.json"
grep -q single_shot "$DIR/n0.json" || cannot "no such class"
controller n0
first=$PID
until_ok 10 serving n0 || cannot "n0 does not serve"
begin caller "$STANDIN" single "127.0.0.1:${port[3]}" 3500
caller=$PID
connected() { grep -q 'caller0 connected' "$RECORD"; }
until_ok 3 connected || cannot "the caller does not connect"
sleep 0.5
if [ "$TROUBLE" != 0 ]; then
  note "SIGTERM to n0"
  kill -TERM "$first"
fi
sleep 0.2 # requests on open connections still come then
kill -USR1 "$caller"
reached() { [ "$(grep -c 'office. setup' "$RECORD")" = 2 ]; }
until_ok 3 reached || cannot "the set-ups do not reach the offices"
until_ok 8 ended "$caller" || cannot "the caller does not end"
if [ "$TROUBLE" != 0 ]; then until_ok 3 ended "$first" && note "n0 has ended"; fi
"$STANDIN" harmless "$RECORD"
code=$?
[ $code -le 1 ] || cannot "the record is not to be read"
note "result $code"
exit $code
