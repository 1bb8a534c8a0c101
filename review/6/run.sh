#!/usr/bin/env bash
# A call stands at an office that drains. The controller is restarted as planned. Does the release reach the caller?
# TROUBLE=0: neither; TROUBLE=drain, TROUBLE=restart: one of the two alone.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib-2.sh"
pools=4 controllers=1 # one of five is played: all connections of the offices are its own
drains=0 restarts=0
case $TROUBLE in 1) drains=1 restarts=1 ;; drain) drains=1 ;; restart) restarts=1 ;; esac

mapfile -t port < <("$STANDIN" ports $((pools + controllers + 1)))
[ ${#port[@]} = $((pools + controllers + 1)) ] || cannot "no ports"
serving_list=() present_list=()
for k in $(seq 0 $((pools - 1))); do
  begin "office$k" "$STANDIN" office "127.0.0.1:${port[k]}" "office$k"
  serving_list+=("$(server "$k" "${port[k]}" SERVING)")
  present_list+=("${serving_list[k]}")
done
[ $drains = 1 ] && present_list[0]=$(server 0 "${port[0]}" DRAINING)
journal=127.0.0.1:${port[pools]}
whole "${serving_list[@]}" >"$DIR/events"
begin journal "$STANDIN" journal "$journal" "$DIR/events"
journal_pid=$PID
until_ok 5 "$STANDIN" status "http://$journal/none" || cannot "the journal service does not start"

addrs=
for n in $(seq 0 $((controllers - 1))); do
  listen=127.0.0.1:${port[pools + 1 + n]}
  addrs+=${addrs:+,}$listen
  platform "n$n" "$listen" "$journal" "$(whole "${serving_list[@]}")" 5 "$n" $pools
  controller "n$n"
  [ "$n" = 0 ] && first=$PID
done
for n in $(seq 0 $((controllers - 1))); do until_ok 10 serving "n$n" || cannot "n$n does not serve"; done

mkfifo "$DIR/orders"
begin callers "$STANDIN" sip-caller "$addrs" $pools "$DIR/orders"
exec 3<>"$DIR/orders"
echo on >&3
sleep 1
echo "long 0 11000 3" >&3 # three calls of 11 s whose first choice is office0
sleep 1
[ "$(grep -c 'office0 answer' "$RECORD")" -ge 1 ] || cannot "no call stands at office0"
if [ $drains = 1 ]; then
  note "office0 drains"
  echo "{\"pos\":2,\"hosts\":{\"version\":2,\"full\":false,\"servers\":[${present_list[0]}]}}" >>"$DIR/events"
fi
sleep 1
echo off >&3
sleep 2
if [ $restarts = 1 ]; then
  note "SIGTERM to n0"
  kill -TERM "$first"
  until_ok 5 ended "$first" || cannot "n0 does not end"
  note "n0 has ended"
  # Events are numbered from 1 at each start of a controller: the first has the list as it is now.
  kill "$journal_pid"
  until_ok 5 ended "$journal_pid" || cannot "the journal service does not end"
  whole "${present_list[@]}" >"$DIR/events.now"
  begin journal "$STANDIN" journal "$journal" "$DIR/events.now"
  until_ok 5 "$STANDIN" status "http://$journal/none" || cannot "the journal service does not start"
  platform n0 "127.0.0.1:${port[pools + 1]}" "$journal" "$(whole "${present_list[@]}")" 5 0 $pools
  controller n0
  until_ok 10 serving n0 2 || cannot "n0 does not serve again"
  note "n0 serves again"
fi
echo on >&3
sleep 17.5
echo off >&3
note "end"
[ "$(grep -c 'office0 end' "$RECORD")" -ge 1 ] || cannot "no call has ended at office0"
"$STANDIN" released "$RECORD" 20
code=$?
[ $code -le 1 ] || cannot "the record is not to be read"
note "result $code"
exit $code
