#!/usr/bin/env bash
# An office accepts a call of a WebSocket caller with a description in markup of 11,000 bytes; with TROUBLE=0 of 1,000
# bytes. Does the caller get its final answer, in a frame that the page allows?
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib-2.sh"
marks=4400
[ "$TROUBLE" = 0 ] && marks=400
mapfile -t port < <("$STANDIN" ports 5)
[ ${#port[@]} = 5 ] || cannot "no ports"
list=()
for k in 0 1; do
  begin "office$k" "$STANDIN" office "127.0.0.1:${port[k]}" "office$k"
  list+=("$(server "$k" "${port[k]}" SERVING)")
done
journal=127.0.0.1:${port[2]}
whole "${list[@]}" >"$DIR/events"
begin journal "$STANDIN" journal "$journal" "$DIR/events"
until_ok 5 "$STANDIN" status "http://$journal/none" || cannot "the journal service does not start"
cat >"$DIR/n0.toml" <<END
[callws]
listen = "127.0.0.1:${port[3]}"
[callws.callers]
station-7 = "a-token-of-station-7-0123456789"
[goodput]
enabled = true
END
platform n0 "127.0.0.1:${port[4]}" "$journal" "$(whole "${list[@]}")" 1 0 2
controller n0
until_ok 10 serving n0 || cannot "n0 does not serve"
"$STANDIN" large-answers "ws://127.0.0.1:${port[3]}/v1/calls" a-token-of-station-7-0123456789 $marks
code=$?
grep -q ' answer ' "$RECORD" || cannot "no office has answered"
[ $code -le 1 ] || cannot "the caller failed"
note "result $code"
exit $code
