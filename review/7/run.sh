#!/usr/bin/env bash
# A caller's calls stand. The controller is restarted as planned. From then on the caller only ends calls of its own, over a
# connection that it opens to the new process, and sets none up. Other calls of it come to their end at the offices. Do the
# releases reach it? TROUBLE=0: no restart.
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
controller n0
first=$PID
until_ok 10 serving n0 || cannot "n0 does not serve"
mkfifo "$DIR/orders"
begin caller "$STANDIN" ender "127.0.0.1:${port[3]}" "$DIR/orders"
exec 3<>"$DIR/orders"
echo "setup 0 11000 10" >&3 # the caller ends them itself
echo "setup 1 7400 4" >&3   # these come to their end
sleep 1.5
[ "$(grep -c 'answered .* 200' "$RECORD")" = 14 ] || cannot "not all calls stand"
if [ "$TROUBLE" != 0 ]; then
  note "SIGTERM to n0"
  kill -TERM "$first"
  until_ok 5 ended "$first" || cannot "n0 does not end"
  controller n0
  until_ok 10 serving n0 2 || cannot "n0 does not serve again"
  note "n0 serves again"
fi
sleep 2
echo "end 500 10" >&3
sleep 14
note "end"
[ "$(grep -c 'office1 end' "$RECORD")" -ge 4 ] || cannot "no call has ended at office1"
"$STANDIN" released "$RECORD" 14
code=$?
[ $code -le 1 ] || cannot "the record is not to be read"
note "result $code"
exit $code
