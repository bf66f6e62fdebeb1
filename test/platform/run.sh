#!/bin/sh
# Runs the real processes on loopback with a fake of the users' platform: checks
# what callers get from backend servers that misbehave in all known ways; repeats
# this after the leader of the replicas was killed, and after a graceful restart
# of the entry. Waits for events, never for a fixed time. Argument: the build
# folder.
set -eu
bin=$1
work=$(mktemp -d)
pids=""
. "$(dirname "$0")/../../scripts/free-ports.sh"
base=$(free_ports 20 "$work")
trap 'for it in $pids; do kill -TERM $it 2>/dev/null || true; done; for it in $pids; do wait $it 2>/dev/null || true; done; rm -rf "$work"' EXIT

daemon() { # name
  "$bin/packages/daemon/pimentofrontd" --settings "$work/$1.json" >>"$work/$1.log" 2>&1 &
  eval "pid_$1=$!"
  pids="$! $pids"
}
common() { # name http peers
  echo "\"host\": \"$1\", \"zone\": \"z\", \"zones\": {\"z\": \"r\"}, \"http\": \"127.0.0.1:$((base + $2))\", \"peers\": \"127.0.0.1:$((base + $3))\",
 \"replicas\": [\"127.0.0.1:$((base + 11))\", \"127.0.0.1:$((base + 12))\", \"127.0.0.1:$((base + 13))\"],
 \"member_lease_ms\": 3000, \"renew_period_ms\": 1000, \"stop_notice_ms\": 50"
}
for i in 1 2 3; do
  echo "{$(common "n$i" $i $((10 + i))), \"replica\": {\"folder\": \"$work/data$i\", \"bootstrap\": true, \"tolerated_losses\": 1, \"orders_resent_ms\": 500}}" >"$work/n$i.json"
  daemon "n$i"
done
echo "{$(common e1 4 14), \"forward\": {\"listen\": \"127.0.0.1:$((base + 5))\"}}" >"$work/e1.json"
echo "{$(common w1 6 16), \"agent\": {\"engine\": \"127.0.0.1:$((base + 7))\", \"engine_interface\": \"orders\", \"engine_settle_ms\": 0, \"engine_probe_ms\": 100, \"base_model\": \"engines\", \"company_share\": 0}}" >"$work/w1.json"
sed "s/\"w1\"/\"w2\"/; s/127.0.0.1:$((base + 6))\"/127.0.0.2:$((base + 6))\"/; s/127.0.0.1:$((base + 16))\"/127.0.0.2:$((base + 16))\"/; s/127.0.0.1:$((base + 7))\"/127.0.0.2:$((base + 7))\"/" "$work/w1.json" >"$work/w2.json"
daemon e1
daemon w1
daemon w2

play() {
  "$bin/test/pimentofront-fake-platform" --control "127.0.0.1:$((base + 1))" \
    --control "127.0.0.1:$((base + 2))" --control "127.0.0.1:$((base + 3))" \
    --front "127.0.0.1:$((base + 5))" --plain "127.0.0.1:$((base + 8))" --engine "127.0.0.1:$((base + 7))" --engine "127.0.0.2:$((base + 7))" ||
    { echo "failed: $1"; tail -n 20 "$work"/*.log; exit 1; }
  echo "ok: $1"
}
play "all requests have the expected outcome"

leader=$(grep -l '"event":"leader_began"' "$work"/n?.log | head -n 1)
name=$(basename "$leader" .log)
eval "kill -KILL \$pid_$name"
play "the same after the leader was killed"

kill -TERM "$pid_e1"
wait "$pid_e1" || { echo "the entry exited with a non-zero code"; exit 1; }
daemon e1
play "the same after a graceful restart of the entry"

if grep -l "secret-of-" "$work"/*.log; then
  echo "a log contains a key"
  exit 1
fi
for i in 1 2 3; do
  curl -s "http://127.0.0.1:$((base + i))/metrics" | grep "secret-of-" && { echo "the metrics contain a key"; exit 1; }
done
echo "ok: neither logs nor metrics contain a key"

id=$(grep -h '"event":"request_lost"' "$work/e1.log" | grep -o '"request":"[^"]*"' | tail -n 1 | cut -d'"' -f4)
"$bin/packages/ctl/pimentofrontctl" explain "$id" "$work"/*.log | grep -q '^=> ' || { echo "explain shows no cause for request $id"; exit 1; }
echo "ok: explain shows the cause of a lost request"
