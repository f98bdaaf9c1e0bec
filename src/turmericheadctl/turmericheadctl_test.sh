#!/usr/bin/env bash
# Drives turmericheadctl against the platform's stand-in: findings, apply, a
# lost race, reading back, and the audit trail.
# usage: turmericheadctl_test.sh TURMERICHEADCTL STANDIN_PLATFORM
set -uo pipefail
ctl=$1
folder=$(mktemp -d)
coproc platform { exec "$2" --port 0; }
stand_in=$platform_PID
trap 'kill $stand_in 2>/dev/null; rm -rf "$folder"' EXIT
read -r _ port <&"${platform[0]}"
url=http://127.0.0.1:$port
failures=0

# expect CODE PATTERN ARGUMENTS...: exit code, and a line of the output.
expect() {
  local code=$1 pattern=$2
  shift 2
  local output status
  output=$("$ctl" "$@" 2>&1)
  status=$?
  if [ $status -ne "$code" ] || ! grep -q -- "$pattern" <<<"$output"; then
    echo "FAILED: $* (exit $status, expected $code and '$pattern')"
    echo "$output"
    failures=$((failures + 1))
  fi
}

entry() { # entry TOKENS
  cat <<TOML
name = "yard"
owner = "gleisfenster"
owner_token_sha256 = "$(printf secret | sha256sum | cut -c1-64)"
rank = "urgent"
model = "dispatch-7b"
target_ms = 8000
[limits]
tokens = $1
TOML
}
entry 60000 >"$folder/yard.toml"
entry 70000 >"$folder/other.toml"
entry -1 >"$folder/bad.toml"
printf '[host]\nid = "A"\n' >"$folder/host.toml"

expect 2 'usage' check
expect 0 'yard.toml: good' check "$folder/yard.toml"
expect 2 'bad.toml:8:1: limits.tokens: is out of range' check "$folder/bad.toml"
expect 2 'host.toml:2:1: host.id: must be a name' check "$folder/host.toml"
expect 2 'cannot be read' check "$folder/nothing.toml"
expect 2 'no such command' frobnicate
expect 2 'address is needed' get
expect 0 'exit codes\|Exit codes' --help
expect 0 'version' --version

expect 2 'must be UTF-8' get --who "$(printf 'i\xff')" --platform "$url"
expect 2 'out of range' apply "$folder/bad.toml" --platform "$url"
expect 1 'no such entry' get yard --platform "$url"
expect 0 'yard: applied, version [0-9]* by ines' \
  apply "$folder/yard.toml" --who ines --platform "$url"
expect 0 'unchanged' apply "$folder/yard.toml" --who ines --platform "$url"
expect 0 'limits.tokens: 60000 -> 70000' \
  apply "$folder/other.toml" --who tomas --platform "$url"
# ines still works on the first version: tomas was first, and she sees it.
expect 3 'another change was first: version [0-9]* by tomas' \
  apply "$folder/yard.toml" --who ines --expect 1 --platform "$url"
expect 3 'limits.tokens: 70000 -> 60000' \
  apply "$folder/yard.toml" --who ines --expect 1 --platform "$url"
# The write takes effect and its answer is lost: the entry is read back.
curl -s -o "$folder/order" -X POST -d '{"mode":"lose_answers"}' "$url/control"
entry 80000 >"$folder/third.toml"
expect 0 'applied, version [0-9]* by tomas (the answer was lost' \
  apply "$folder/third.toml" --who tomas --platform "$url"
curl -s -o "$folder/order" -X POST -d '{"mode":"ok"}' "$url/control"
expect 0 'limits.tokens: 80000 -> 70000' \
  apply "$folder/other.toml" --who tomas --platform "$url"
expect 0 'yard  version [0-9]* by tomas' get --platform "$url"
expect 0 '"tokens": 70000' get yard --platform "$url"
# An entry of another writer, which is no object.
curl -s -o "$folder/odd" -X POST -d '{"metadata":{"name":"odd"},"spec":[7]}' \
  "$url/apis/turmerichead.io/v1/namespaces/default/entries"
expect 0 '^odd .*DOES NOT CHECK' get --platform "$url"
expect 0 'yard  version [0-9]* by tomas' get --platform "$url"
expect 0 '"spec": \[' get odd --platform "$url"
expect 1 '' get --platform http://127.0.0.1:1
expect 1 '' report --host 127.0.0.1:1
expect 2 'address of a host' status
# A host that does not answer, or does not know the report, must not look like
# a decision.
expect 2 'usage: turmericheadctl where' where --at 127.0.0.1:1 --path /a/
expect 1 'does not answer' where --at 127.0.0.1:1 --host h --path /a/
expect 1 'no entry host' where --at "127.0.0.1:$port" --host h --path /a/

cat >"$folder/audit.jsonl" <<'JSON'
not JSON
{"time_ms":1796351467000,"level":"audit","host":"a-1","event":"catalogue entry in force","entry":"yard","version":7,"who":"ines","fields":[{"key":"limits.tokens","before":"60000","after":"70000"}]}
{"time_ms":1796351468000,"level":"audit","host":"a-1","event":"catalogue entry in force everywhere","entry":"yard","version":7,"took_ms":420}
JSON
expect 0 'yard version 7 by ines' audit "$folder/audit.jsonl"
expect 0 'limits.tokens: 60000 -> 70000' audit "$folder/audit.jsonl"
expect 0 'after 420 ms' audit "$folder/audit.jsonl" -n 1
[ $failures -eq 0 ] && echo "all good"
cat >"$folder/a.log" <<'LOG'
  7.31 host-a {"time_ms":2000,"level":"info","host":"host-a","event":"call ended","id":"c1","status":503}
{"time_ms":2500,"level":"info","host":"host-a","event":"call ended","id":"c2","program":"p1","status":200}
LOG
cat >"$folder/b.log" <<'LOG'
{"time_ms":1990,"level":"info","host":"host-b","event":"call sent","id":"c1","upstream":"u1"}
not a line of ours that names c1
LOG
expect 0 '+10 ms  host-a  call ended  id=c1  status=503' explain c1 "$folder/a.log" "$folder/b.log"
expect 0 '+0 ms  host-b  call sent  id=c1  upstream=u1' explain c1 "$folder/a.log" "$folder/b.log"
expect 0 'status=200' explain p1 "$folder/a.log"
expect 1 'no line tells of c9' explain c9 "$folder/a.log"
cat >"$folder/c.log" <<'LOG'
{"time_ms":1,"host":"a","event":"call ended","id":"c1","route":"/plan/","program":"p1","status":200,"took_ms":300,"sent_ms":10,"events":3,"first_ms":110,"last_ms":290}
{"time_ms":2,"host":"a","event":"call ended","id":"c2","route":"/plan/","program":"p2","status":503,"took_ms":2,"reason":"no room for a new program"}
{"time_ms":3,"host":"b","event":"call ended","id":"c3","route":"/plan/","program":"p2","status":503,"took_ms":4,"reason":"no room for a new program"}
{"time_ms":4,"host":"b","event":"call ended","id":"c4","route":"/book/","program":"p1","status":0,"took_ms":50,"sent_ms":1,"reason":"the caller has left","held_ms":30,"denied":["u1"]}
LOG
expect 0 '^/plan/ *3 *1 *2 *0 *0 *0 *4 *300 *10 *100 *180 *10$' losses "$folder/c.log"
expect 0 '^/book/ *1 *0 *0 *0 *0 *1 *50 *50 *1 *0 *0 *49$' losses "$folder/c.log"
expect 0 '^ *2 *503 *no room for a new program$' losses "$folder/c.log"
expect 0 '^2 programs, 1 without an answered call$' losses "$folder/c.log"
expect 0 '^limits of upstreams: 1 calls waited 30 ms on average, 1 were denied' losses "$folder/c.log"
# Lines of another writer, whose fields have other types.
cat >"$folder/odd.log" <<'LOG'
{"event":7,"note":"call ended","id":"c1"}
{"time_ms":"then","host":[],"event":"call ended","id":"c1","route":7,"program":{},"status":"good","took_ms":null,"sent_ms":"x","reason":1,"held_ms":[]}
LOG
expect 0 '^/plan/ *3 *1 *2 *0 *0 *0 *4 *300 *10 *100 *180 *10$' losses "$folder/odd.log" "$folder/c.log"
expect 0 'call ended  id=c1' explain c1 "$folder/odd.log"
(echo '{"level":7,"entry":"yard"}'; cat "$folder/audit.jsonl") >"$folder/odd.jsonl"
expect 0 'yard version 7 by ines' audit "$folder/odd.jsonl"
expect 1 'no call has ended' losses "$folder/audit.jsonl"
expect 2 'cannot be read' losses "$folder/none.log"
expect 2 'cannot be read' explain c1 "$folder/none.log"

exit $((failures > 0))
