#!/usr/bin/env bash
# A release is to be halted once two instances cannot apply it. One cannot. Then one of three configuration servers is
# lost, the one that this instance asks. Does the release stay in force at the others? TROUBLE=0: no server is lost.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib-2.sh"
mapfile -t port < <("$STANDIN" ports 12)
[ ${#port[@]} = 12 ] || cannot "no ports"
first=a-first-token-of-station-7-000 second=a-second-token-of-station-7-00
list=()
for k in 0 1; do
  begin "office$k" "$STANDIN" office "127.0.0.1:${port[k]}" "office$k"
  list+=("$(server "$k" "${port[k]}" SERVING)")
done
journal=127.0.0.1:${port[2]}
whole "${list[@]}" >"$DIR/events"
begin journal "$STANDIN" journal "$journal" "$DIR/events"
until_ok 5 "$STANDIN" status "http://$journal/none" || cannot "the journal service does not start"

public=$("$MASTHILL" config keygen "$DIR/release.key") || cannot "no key"
servers=127.0.0.1:${port[3]},127.0.0.1:${port[4]},127.0.0.1:${port[5]}
server_pid=()
for k in 0 1 2; do
  begin "server$k" "$MASTHILL" config serve --fleet harvest --servers "$servers" --listen "127.0.0.1:${port[3 + k]}" \
    --dir "$DIR/releases$k" --keys "$public" --halt-after 2
  server_pid[k]=$PID
done
for k in 0 1 2; do until_ok 5 "$STANDIN" status "http://127.0.0.1:${port[3 + k]}/v1/status" || cannot "server $k does not start"; done

export STATION_7_TOKEN=$second
for n in 0 1 2; do
  cat >"$DIR/n$n.toml" <<END
[callws]
listen = "127.0.0.1:${port[6 + n]}"
[callws.callers]
station-7 = "$first"
[distribution]
servers = ["${servers//,/\", \"}"]
fleet = "harvest"
zone = "cork-1"
keys = ["$public"]
END
  platform "n$n" "127.0.0.1:${port[9 + n]}" "$journal" "$(whole "${list[@]}")" 3 "$n" 2
done
unset STATION_7_TOKEN # n0 lacks the variable that the second release names
controller n0
export STATION_7_TOKEN=$second
controller n1
controller n2
for n in 0 1 2; do until_ok 10 serving "n$n" || cannot "n$n does not serve"; done

cd "$DIR" || cannot "no folder"
printf '[callws.callers]\nstation-7 = "%s"\n' "$first" >week-41.toml
printf '[callws.callers]\nstation-7 = "env:STATION_7_TOKEN"\n' >week-42.toml
publish() { "$MASTHILL" config publish --fleet harvest --servers "$servers" --key-file release.key "$1" >>publish.log 2>&1; }
overview() { "$MASTHILL" config status --servers "$servers" --all; }
states() { overview 2>/dev/null | grep -cE "^n[0-9] .* $1 "; }
runs() { [ "$(states "$1")" = "$2" ]; }
until_ok 10 publish week-41.toml || cannot "the first release is not published"
until_ok 10 runs applied 3 || cannot "the first release is not in force"
sleep 3
publish week-42.toml || cannot "the second release is not published"
until_ok 10 runs applied 2 || cannot "the second release is not in force at two instances"
until_ok 5 runs failed 1 || cannot "the second release has not failed at one instance"
sleep 2
try() { "$STANDIN" try-token "ws://127.0.0.1:${port[6 + $1]}/v1/calls" "$2"; }
look() {
  overview 2>&1 | sed "s/^/$(now) status /" >>"$RECORD"
  for n in 1 2; do note "$1 n$n answers the second token with $(try $n $second) and the first with $(try $n $first)"; done
}
look before
for n in 1 2; do [ "$(try $n $second)" = 101 ] || cannot "the second token does not hold before"; done

# Which server hears n0?
asked=
for k in 0 1 2; do
  [ "$("$MASTHILL" config status --servers "127.0.0.1:${port[3 + k]}" --all | grep -c '^n0 .* failed ')" = 1 ] && asked=$k
done
[ -n "$asked" ] || cannot "no server hears n0"
if [ "$TROUBLE" != 0 ]; then
  note "server $asked is killed"
  kill -KILL "${server_pid[asked]}"
fi
sleep 12
look after
code=0
for n in 1 2; do [ "$(try $n $second)" = 101 ] || code=1; done
[ "$(overview 2>/dev/null | head -1 | grep -c halted)" = 0 ] || code=1
overview 2>/dev/null | head -1
note "result $code"
exit $code
