#!/usr/bin/env bash
# A fleet of three is replaced. The first instance of the new generation hangs (SIGSTOP) 1 s after it says that it serves.
# Are the others left alone until the first has been watched for healthy_for? TROUBLE=0: it does not hang.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib-2.sh"
mapfile -t port < <("$STANDIN" ports 3)
[ ${#port[@]} = 3 ] || cannot "no ports"
list=()
for k in 0 1; do
  begin "office$k" "$STANDIN" office "127.0.0.1:${port[k]}" "office$k"
  list+=("$(server "$k" "${port[k]}" SERVING)")
done
journal=127.0.0.1:${port[2]}
whole "${list[@]}" >"$DIR/events"
begin journal "$STANDIN" journal "$journal" "$DIR/events"
until_ok 5 "$STANDIN" status "http://$journal/none" || cannot "the journal service does not start"
platform template "%LISTEN%" "$journal" "$(whole "${list[@]}")" 3 %ORDINAL% 2
sed -i 's/"name":"template"/"name":"%NAME%"/; s/"seed":"[0-9a-f]*"/"seed":"%SEED%"/' "$DIR/template.json"
printf '[goodput]\nenabled = true\n' >"$DIR/settings.toml"
cat >"$DIR/fleet.toml" <<END
name = "harvest"
dir = "$DIR/fleet"
program = "$MASTHILL"
instances = 3
listen = "127.0.0.1:0"
platform = "template.json"
settings = "settings.toml"
[rollout]
most_away = 0.28
healthy_for = "5s"
start_within = "15s"
stop_within = "6s"
back = true
END
cd "$DIR" || cannot "no folder"
mkdir -p "$DIR/tmp"
TMPDIR=$DIR/tmp begin supervisor "$MASTHILL" fleet up "$DIR/fleet.toml"
supervisor=$PID
hung=
end_fleet() { # the instances too, by the ids that the supervisor tells
  [ -n "$hung" ] && kill -CONT "$hung" 2>/dev/null
  local pids
  pids=$(instance 'p["pid"]' 2>/dev/null)
  kill "$supervisor" 2>/dev/null
  until_ok 12 ended "$supervisor"
  for p in $pids; do [ "$p" -gt 1 ] 2>/dev/null && kill -KILL "$p" 2>/dev/null; done
}
status() { "$MASTHILL" fleet status "$DIR/fleet.toml" --json; }
# field prints a field of an instance: field NUMBER NAME.
field() { status 2>/dev/null | grep -A 8 "\"name\": \"harvest-$1\"" | sed -n "s/^ *\"$2\": \"\{0,1\}\([^\",]*\)\"\{0,1\},\{0,1\}$/\1/p" | head -1; }
instance() { local n; for n in 0 1 2; do field $n pid; done; }
trap 'code=$?; trap - EXIT; end_fleet; (exit $code); finish' EXIT
phases() { [ "$(status 2>/dev/null | grep -c '"phase": "serving"')" = 3 ]; }
until_ok 15 phases || cannot "the fleet does not serve"
addrs=()
for n in 0 1 2; do addrs+=("$(field $n listen)"); done
begin probes "$STANDIN" probes "${addrs[@]}"
sleep 2
[ "$(grep -c 'front instance . yes' "$RECORD")" = 3 ] || cannot "the front finds not all ready"
before=("$(field 0 pid)" "$(field 1 pid)" "$(field 2 pid)")
note "rollout begins; processes ${before[*]}"
"$MASTHILL" fleet restart --no-wait "$DIR/fleet.toml" || cannot "the rollout does not begin"
replaced() { [ "$(field 0 generation)" = 2 ] && [ "$(field 0 phase)" = serving ]; }
until_ok 15 replaced || cannot "the first instance is not replaced"
if [ "$TROUBLE" != 0 ]; then
  sleep 1
  hung=$(field 0 pid)
  note "the new process of harvest-0, $hung, hangs"
  kill -STOP "$hung"
fi
sleep 15
note "processes $(field 0 pid) $(field 1 pid) $(field 2 pid)"
status 2>/dev/null | sed "s/^/$(now) status /" >>"$RECORD"
"$STANDIN" watched "$RECORD" 5000
code=$?
[ $code -le 1 ] || cannot "the record is not to be read"
note "result $code"
exit $code
