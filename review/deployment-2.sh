# A small deployment for the review's scripts: three replicas, entries and
# stand-ins, as processes on loopback addresses, with the settings that the
# templates of deploy/ give. A script sources this file from the repository's
# root; before, it sets `case` to its folder and `record` to the file record.txt there,
# to which all that is sent, answered and run is written.

daemon=$(sed -n 's/^run = "\([^ ]*\) .*/\1/p' deploy/system.toml | head -n 1)
standin=${STANDIN:-target/review/standin-2}
[ -x "$daemon" ] && [ -x "$standin" ] || {
  echo "build with the command of deploy/system.toml and with review/build-2.sh"
  exit 2
}
# The record of an earlier run goes.
: >"$record"
work=$(mktemp -d)
pids=""
net=127.$((1 + $$ % 250)).$((1 + $$ / 250 % 250))
control_port=$("$standin" port)
peer_port=$("$standin" port)
front_port=$("$standin" port)
seeds="\"$net.1:$control_port\",\"$net.2:$control_port\",\"$net.3:$control_port\""
control=$net.1:$control_port,$net.2:$control_port,$net.3:$control_port

# Where replicas listen for other processes: at the addresses that they tell, or,
# behind the stand-in for links, at others.
peers_listen=$net.

note() { echo "$(date +%s%3N) $*" >>"$record"; }

# Ends what was started; a stopped process has to run to end.
end_all() {
  for it in $pids; do
    kill -KILL "$it" 2>/dev/null
    kill -CONT "$it" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}
trap end_all EXIT

# Starts a process; its id is in `pid`.
start() { # log command...
  log=$1
  shift
  "$@" >>"$work/$log.log" 2>&1 &
  pid=$!
  pids="$pids $pid"
}

fail() { # message
  echo "the case couldn't run: $1"
  note "the case couldn't run: $1"
  exit 2
}

wait_for() { # what command...
  what=$1
  shift
  n=0
  until "$@" >/dev/null 2>&1; do
    n=$((n + 1))
    [ $n -lt 600 ] || fail "no $what"
    sleep 0.02
  done
}

# Whether the record has a line that matches a pattern.
said() { grep -q "$1" "$record"; }

# Lets all links to replicas pass through a stand-in. Call it before they start.
start_links() {
  peers_listen=$net.5
  commands=$work/commands
  : >"$commands"
  start links "$standin" links --commands "$commands" --record "$record" --map \
    "$net.1:$peer_port=$net.51:$peer_port=core-1,$net.2:$peer_port=$net.52:$peer_port=core-2,$net.3:$peer_port=$net.53:$peer_port=core-3"
}

start_replica() { # number bootstrap
  mkdir -p "$work/data-$1"
  cat >"$work/replica-$1.json" <<END
{"host": "core-$1", "zone": "a-hall", "zones": {"a-hall": "a"},
 "http": "$net.$1:$control_port", "peers": "$net.$1:$peer_port",
 "peers_listen": "$peers_listen$1:$peer_port",
 "replicas": [$seeds], "replica_port": $peer_port,
 "member_lease_ms": 4000, "server_heartbeat_ms": 1200, "renew_period_ms": 1200,
 "memory_mb": 256, "max_descriptors": 4096,
 "stop_notice_ms": 100, "stop_limit_ms": 2000,
 "replica": {"folder": "$work/data-$1", "heartbeat_ms": 100,
  "election_timeout_ms": 400, "bootstrap": $2, "measured_loads": true,
  "orders_resent_ms": 4000, "tolerated_losses": 1, "may_vote": true}}
END
  start "replica-$1" "$daemon" --settings "$work/replica-$1.json"
}

start_entry() { # number
  cat >"$work/entry-$1.json" <<END
{"host": "edge-$1", "zone": "a-hall", "zones": {"a-hall": "a"},
 "http": "$net.1$1:$control_port", "peers": "$net.1$1:$peer_port",
 "replicas": [$seeds], "replica_port": $peer_port,
 "configuration_lease_ms": 2000, "memory_mb": 260, "max_descriptors": 4100,
 "stop_notice_ms": 2500, "grace_s": 8,
 "forward": {"listen": "$net.1$1:$front_port", "terms": ["base", "drain",
  "config", "cost", "retry", "recover", "fleet", "stream", "engine"],
  "fetch_prompt_parts": true, "retry_reserve": 58}}
END
  start "entry-$1" "$daemon" --settings "$work/entry-$1.json"
}

start_agent() { # number engine service
  cat >"$work/agent-$1.json" <<END
{"host": "side-$1", "zone": "a-hall", "zones": {"a-hall": "a"},
 "http": "$net.2$1:$control_port", "peers": "$net.2$1:$peer_port",
 "replicas": [$seeds], "replica_port": $peer_port,
 "member_lease_ms": 4000, "renew_period_ms": 1200,
 "memory_mb": 192, "max_descriptors": 4096,
 "stop_notice_ms": 200, "grace_s": 8,
 "agent": {"engine": "$2", "engine_interface": "orders",
  "engine_settle_ms": 0, "engine_probe_ms": 250, "base_model": "$3",
  "slots": 1, "batch_capacity": 64, "company_share": 0,
  "popularity_half_life_ms": 10000}}
END
  start "agent-$1" "$daemon" --settings "$work/agent-$1.json"
}

operator() { # method path [body-file]
  "$standin" operator --to "$control" --method "$1" --path "$2" \
    ${3:+--body "$3"} --record "$record"
}

client() { # entry id path options...
  entry=$1
  id=$2
  path=$3
  shift 3
  "$standin" client --to "$net.1$entry:$front_port" --host shop.example \
    --path "$path" --id "$id" --record "$record" "$@"
}

entry_ready() { # number
  "$standin" operator --to "$net.1$1:$control_port" --path /-/readyz \
    --tries 1 --record /dev/null
}

ready_entry() { wait_for "entry $1 that is ready" entry_ready "$1"; }
