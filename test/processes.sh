#!/bin/sh
# Tests the real processes on loopback with killed and paused processes, a lost
# data folder and a damaged log. Waits for events, never for a fixed time.
# Argument: the folder with the built packages.
set -eu
bin=$1
work=$(mktemp -d)
pids=""
. "$(dirname "$0")/../scripts/free-ports.sh"
base=$(free_ports 25 "$work")
trap 'for it in $pids; do kill -CONT $it 2>/dev/null || true; kill -TERM $it 2>/dev/null || true; done; for it in $pids; do wait $it 2>/dev/null || true; done; rm -rf "$work"' EXIT

run() { # name command...
  name=$1
  shift
  "$@" >>"$work/$name.out" 2>&1 &
  eval "pid_$name=$!"
  pids="$! $pids"
}
settings() { # name http peers parts
  cat >"$work/$1.json" <<EOF
{"host": "$1", "zone": "z", "http": "127.0.0.1:$((base + $2))", "peers": "127.0.0.1:$((base + $3))",
 "replicas": ["127.0.0.1:$((base + 11))", "127.0.0.1:$((base + 12))", "127.0.0.1:$((base + 13))"],
 "log": {"file": "$work/$1.log"}, "stop_notice_ms": 50, $4}
EOF
}
daemon() { run "$1" "$bin/daemon/pimentofrontd" --settings "$work/$1.json"; }
ctl() { n=$1; shift; "$bin/ctl/pimentofrontctl" --entry "127.0.0.1:$((base + n))" --operator test "$@"; }
until_ok() { # what command...
  what=$1
  shift
  tries=0
  until "$@" >"$work/last" 2>&1; do
    tries=$((tries + 1))
    [ $tries -lt 150 ] || { echo "timed out: $what"; cat "$work/last"; tail -3 "$work"/*.log; exit 1; }
    sleep 0.1
  done
  echo "ok: $what"
}
fails() { ! "$@" >/dev/null 2>&1; }

run engine "$bin/testkit/pimentofront-fake-engine" --listen "127.0.0.1:$((base + 20))" --load-ms 50
run engine2 "$bin/testkit/pimentofront-fake-engine" --listen "127.0.0.1:$((base + 22))" --load-ms 50
run service "$bin/testkit/pimentofront-fake-service" "127.0.0.1:$((base + 21))" 300
for i in 1 2 3; do
  settings n$i $i $((10 + i)) "\"entry\": {\"caller_timeout_ms\": 1000}, \"replica\": {\"folder\": \"$work/data$i\"}"
  daemon n$i
done
settings w1 4 14 "\"agent\": {\"engine\": \"127.0.0.1:$((base + 20))\", \"base_model\": \"m\", \"services\": [{\"name\": \"stock\", \"address\": \"127.0.0.1:$((base + 21))\"}]}"
settings w2 5 15 "\"agent\": {\"engine\": \"127.0.0.1:$((base + 22))\", \"base_model\": \"m\"}"
daemon w1
daemon w2

until_ok "bootstrap" ctl 1 bootstrap
until_ok "a kind is set" ctl 1 --command-id k set-kind counter --window-ms 20000
until_ok "an adapter is created" ctl 1 --command-id a create-adapter a m
ctl 1 create-version a 1 s >/dev/null
ctl 1 declare-live a 1 >/dev/null
voters() { [ "$(ctl "$1" status | grep -o '"group":\["n[123]","n[123]","n[123]"\]' | wc -l)" = 3 ]; }
until_ok "the group has three voters" voters 1
answers_with() { ctl "$1" generate a hello --kind counter --max-tokens 4 | grep -q "$2#3"; } # entry adapter@version
until_ok "an answer through the first entry" answers_with 1 a@1
until_ok "an answer through the second entry" answers_with 2 a@1

# An order that is resent gets its recorded answer, also after its entry was killed.
issued=$(date +%s%3N)
order() { ctl "$1" call stock reserve x --kind counter --request o1 --issued-at-ms "$issued"; }
until_ok "an order is executed" order 1 # Retried until the entry knows the service.
first=$(order 1)
[ "$(order 2)" = "$first" ] && echo "ok: a resent order gets its recorded answer"
kill -KILL "$pid_n1"
until_ok "an answer while one replica is dead" answers_with 2 a@1
[ "$(order 3)" = "$first" ] && echo "ok: the same after its entry was killed"

# The killed replica restarts with an empty disk; then a second host is lost.
rm -rf "$work/data1"
daemon n1
until_ok "the replica with the empty disk is a voter again" voters 2
kill -KILL "$pid_n2"
until_ok "a change after a second host was lost" ctl 1 --command-id c2 create-version a 2 s
daemon n2
until_ok "all three replicas are voters again" voters 1

# While one replica is paused the others continue; once resumed, it must not serve
# its stale state.
kill -STOP "$pid_n3"
until_ok "a change while one replica is paused" ctl 1 --command-id c3 declare-live a 2
kill -CONT "$pid_n3"
retired() { ctl 3 generate a hello --kind counter --version 1 2>&1 | grep -q 'no live version'; }
until_ok "the resumed replica has the change" retired

# A replica with a damaged log exits with an exit code of its own.
kill -TERM "$pid_n3"
wait "$pid_n3" || true
printf 'XXXXXXXX' | dd of="$work/data3/log" bs=1 seek=24 conv=notrunc 2>/dev/null
set +e
"$bin/daemon/pimentofrontd" --settings "$work/n3.json" >/dev/null 2>&1
[ $? = 5 ] || { echo "a damaged log was accepted"; exit 1; }
set -e
echo "ok: a damaged log is refused"

# An evacuated zone gets no requests until it is restored.
zone=$(sed -n 's/.*"zone": "\([^"]*\)".*/\1/p' "$work/w1.json")
ctl 1 evacuate "$zone" >/dev/null
refused() { ctl 1 generate a hello --kind counter 2>&1 | grep -q '"notRun":true'; }
until_ok "the servers of an evacuated zone get no requests" refused
ctl 1 status | grep -q '"evacuated":true' || { echo "the status doesn't show the evacuation"; exit 1; }
ctl 1 restore "$zone" >/dev/null
until_ok "the restored zone is used again" answers_with 1 a@2

# A graceful stop doesn't interrupt running generations.
until_ok "the new version through the first entry" answers_with 1 a@2
n2_answer="$work/answer"
ctl 1 generate a hello --kind counter --max-tokens 150 >"$n2_answer" 2>&1 &
long=$!
running() { grep -q generation_started "$work"/w*.log && grep -q 'a@2#5 ' "$n2_answer"; }
until_ok "a long answer is in progress" running
kill -TERM "$pid_w1" "$pid_w2"
wait $long
grep -q 'a@2#149' "$n2_answer" || { echo "the answer was interrupted"; exit 1; }
echo "ok: a graceful stop interrupted nothing"
until_ok "the first agent has exited" fails kill -0 "$pid_w1"
wait "$pid_w1" || { echo "the agent exited with a non-zero code"; exit 1; }
refused() { ctl 1 generate a hello --kind counter 2>&1 | grep -q '"notRun":true'; }
until_ok "without backend servers a refusal says that the request was not run" refused

# Invalid input is refused.
post() { # path type body
  printf 'POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Type: %s\r\nContent-Length: %s\r\n\r\n%s' "$1" "$2" "${#3}" "$3" >"$work/raw"
  exec 3<>/dev/null
  python3 - "$((base + 1))" "$work/raw" <<'EOF' 2>/dev/null || true
import socket, sys
s = socket.create_connection(("127.0.0.1", int(sys.argv[1])))
s.sendall(open(sys.argv[2], "rb").read())
print(s.recv(4096).decode(errors="replace"))
EOF
}
if command -v python3 >/dev/null; then
  post /pimentofront.v1.Assistant/Generate application/json '{"nonsense":1}' | grep -q "400 Bad" && echo "ok: an invalid body is refused"
  post /pimentofront.v1.Assistant/Nothing application/json '{}' | grep -q "501" && echo "ok: an unknown method is refused"
  post /pimentofront.v1.Assistant/Generate text/html '{}' | grep -q "415" && echo "ok: an unknown content type is refused"
  slow=$(python3 - "$((base + 1))" <<'EOF'
import socket, sys
s = socket.create_connection(("127.0.0.1", int(sys.argv[1])))
s.settimeout(30)
s.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
s.recv(4096)
s.sendall(b"POST /half HTTP/1.1\r\nHost:")
try:
    print("ended" if s.recv(4096) == b"" else "answered")
except TimeoutError:
    print("held open")
EOF
)
  [ "$slow" = ended ] || { echo "a slow caller on a keep-alive connection is $slow"; exit 1; }
  echo "ok: a slow caller on a keep-alive connection is disconnected"
fi
"$bin/ctl/pimentofrontctl" timeline "$work"/*.log >"$work/timeline" && echo "ok: the time line has $(wc -l <"$work/timeline") events"
