#!/bin/sh
# Measures the real processes on this machine: requests per second and added
# latency, memory by the number of known adapters, CPU time and network traffic of
# idle processes.
set -eu
cd "$(dirname "$0")/.."
bin=$PWD/build
work=$(mktemp -d)
. scripts/free-ports.sh
base=$(free_ports 20 "$work")
pids=""
stop() { for it in $pids; do kill -TERM "$it" 2>/dev/null || true; done; for it in $pids; do wait "$it" 2>/dev/null || true; done; pids=""; }
trap 'stop; rm -rf "$work"' EXIT
run() { "$@" >>"$work/out" 2>&1 & pids="$! $pids"; last=$!; }
resident() { awk '/VmRSS/ {printf "%.1f MB", $2 / 1024}' "/proc/$1/status"; }
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
wire() { curl -s "http://127.0.0.1:$1/metrics" | awk -F' ' '/peer_bytes/ {sum += $2} END {print sum}'; }
common() { echo "\"zone\": \"z\", \"replicas\": [\"127.0.0.1:$((base + 1))\"], \"log\": {\"file\": \"$work/$1.log\", \"level\": \"warn\"}"; }

for n in 0 3000 100000; do
  "$bin/bench/pimentofront-slopes" --make-folder "$work/data$n" $n "127.0.0.1:$((base + 1))"
  cat >"$work/n1.json" <<EOF
{"host": "n1", "http": "127.0.0.1:$base", "peers": "127.0.0.1:$((base + 1))", $(common n1), "replica": {"folder": "$work/data$n"}}
EOF
  cat >"$work/e1.json" <<EOF
{"host": "e1", "http": "127.0.0.1:$((base + 2))", "peers": "127.0.0.1:$((base + 3))", $(common e1), "entry": {}}
EOF
  cat >"$work/w1.json" <<EOF
{"host": "w1", "http": "127.0.0.1:$((base + 4))", "peers": "127.0.0.1:$((base + 5))", $(common w1),
 "agent": {"engine": "127.0.0.1:$((base + 6))", "base_model": "base-7b", "slots": 4, "batch_capacity": 256, "company_share": 0}}
EOF
  run "$bin/packages/testkit/pimentofront-fake-engine" --listen "127.0.0.1:$((base + 6))" --token-us 0 --load-ms 20
  run "$bin/packages/daemon/pimentofrontd" --settings "$work/n1.json"; replica=$last
  run "$bin/packages/daemon/pimentofrontd" --settings "$work/e1.json"; entry=$last
  run "$bin/packages/daemon/pimentofrontd" --settings "$work/w1.json"; agent=$last
  until curl -sf "http://127.0.0.1:$((base + 2))/readyz" >/dev/null; do sleep 0.2; done
  sleep 3
  echo "$n adapters: replica $(resident $replica), entry $(resident $entry), agent $(resident $agent)"
  if [ $n = 100000 ]; then
    for it in replica:$replica:$base entry:$entry:$((base + 2)) agent:$agent:$((base + 4)); do
      name=${it%%:*}; rest=${it#*:}; pid=${rest%%:*}; port=${rest#*:}
      eval "t_$name=$(ticks "$pid") b_$name=$(wire "$port")"
    done
    sleep 20
    for it in replica:$replica:$base entry:$entry:$((base + 2)) agent:$agent:$((base + 4)); do
      name=${it%%:*}; rest=${it#*:}; pid=${rest%%:*}; port=${rest#*:}
      eval "t=\$t_$name b=\$b_$name"
      echo "idle $name: $(echo "$(ticks "$pid") $t" | awk '{printf "%.2f%% of a core", ($1 - $2) / 20}'), $(echo "$(wire "$port") $b" | awk '{printf "%.0f B/s", ($1 - $2) / 20}')"
    done
    until "$bin/bench/pimentofront-load" entry "127.0.0.1:$((base + 2))" catalogue-adapter-1 1 1 | grep -q " 0 failed"; do sleep 0.2; done
    for k in 1 16 128; do
      "$bin/bench/pimentofront-load" direct "127.0.0.1:$((base + 6))" catalogue-adapter-1 $k 20000
      "$bin/bench/pimentofront-load" entry "127.0.0.1:$((base + 2))" catalogue-adapter-1 $k 20000
    done
    echo "after load: entry $(resident $entry), agent $(resident $agent)"
  fi
  stop
done
