#!/bin/sh
# Installs missing packages, builds, and demonstrates the whole system as separate
# processes on loopback: two entries, three agents with fake engines, a fake plain
# service and three replicas. Stops all of them gracefully.
set -eu
cd "$(dirname "$0")/.."
scripts/build.sh
bin=$PWD/build/packages
work=$(mktemp -d)
pids=""
. scripts/free-ports.sh
base=$(free_ports 20 "$work")

stop_all() {
  for it in $pids; do kill -TERM "$it" 2>/dev/null || true; done
  for it in $pids; do wait "$it" 2>/dev/null || true; done
}
trap stop_all EXIT

start() { # name command...
  name=$1
  shift
  "$@" >"$work/$name.out" 2>&1 &
  pids="$! $pids"
}

replicas="\"127.0.0.1:$((base + 1))\", \"127.0.0.1:$((base + 2))\", \"127.0.0.1:$((base + 3))\""
daemon() { # name zone http-offset peer-offset parts
  cat >"$work/$1.json" <<EOF
{
  "host": "$1", "zone": "$2",
  "http": "127.0.0.1:$((base + $3))", "peers": "127.0.0.1:$((base + $4))",
  "replicas": [$replicas],
  "log": {"file": "$work/$1.log"},
  "stop_notice_ms": 100,
  $5
}
EOF
  start "$1" "$bin/daemon/pimentofrontd" --settings "$work/$1.json"
}

ctl() { "$bin/ctl/pimentofrontctl" --entry "127.0.0.1:$((base + 4))" --operator demo "$@"; }
wait_for() { # what command...
  what=$1
  shift
  n=0
  until "$@" >/dev/null 2>&1; do
    n=$((n + 1))
    [ $n -lt 100 ] || { echo "timed out waiting for $what"; exit 1; }
    sleep 0.1
  done
}

echo "== starting the processes"
for i in 1 2 3; do
  start engine$i "$bin/testkit/pimentofront-fake-engine" --listen "127.0.0.1:$((base + 13 + i))" --slots 4
done
start service "$bin/testkit/pimentofront-fake-service" "127.0.0.1:$((base + 13))"
daemon entry-1 suva 4 1 "\"entry\": {}, \"replica\": {\"folder\": \"$work/data-1\"}"
daemon entry-2 nadi 5 2 "\"entry\": {}, \"replica\": {\"folder\": \"$work/data-2\"}"
daemon replica-3 lautoka 6 3 "\"replica\": {\"folder\": \"$work/data-3\"}"
for i in 1 2 3; do
  services=""
  [ $i = 1 ] && services=", \"services\": [{\"name\": \"stock\", \"address\": \"127.0.0.1:$((base + 13))\"}]"
  daemon "worker-$i" nadi $((6 + i)) $((9 + i)) \
    "\"agent\": {\"engine\": \"127.0.0.1:$((base + 13 + i))\", \"base_model\": \"base-7b\", \"slots\": 4$services}"
done

echo "== the first replica bootstraps the group, the others join it"
wait_for "the first replica" ctl bootstrap
serving() { ctl status | grep -q '"lagging"' || ctl status | grep -q '"leads":true'; }
wait_for "a leader" serving

echo "== an operator sets a kind and creates adapters"
wait_for "an accepted change" ctl --command-id kind-1 set-kind counter --weight 4 --window-ms 20000
for it in catalogue-h0 catalogue-n track-kits; do
  ctl create-adapter $it base-7b
  ctl create-version $it 1 "store://$it/1"
  ctl declare-live $it 1
done

echo "== requests through the public interface"
ready() { ctl generate catalogue-h0 hello --kind counter --max-tokens 2; }
wait_for "the first answer" ready
ctl generate catalogue-h0 "Old part 4711?" --kind counter --max-tokens 8 --request demo-1
ctl --entry "127.0.0.1:$((base + 5))" generate track-kits "Build note" --kind counter --max-tokens 5 --request demo-2
issued=$(date +%s%3N)
ctl call stock reserve '{"part":4711}' --kind counter --request order-1 --issued-at-ms "$issued"
echo "-- the same order resent through the other entry isn't run twice"
ctl --entry "127.0.0.1:$((base + 5))" call stock reserve '{"part":4711}' --kind counter --request order-1 --issued-at-ms "$issued"

echo "== the status for an operator"
ctl status
echo "== stopping gracefully"
stop_all
pids=""
echo "== the timeline of one request"
ctl timeline --request demo-1 "$work"/*.log | grep demo-1
ctl timeline --request demo-1 --page "$work/timeline.html" "$work"/*.log
echo "as an HTML page: $work/timeline.html"
