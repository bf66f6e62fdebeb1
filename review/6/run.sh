#!/bin/sh
# A worker deregisters, serves on for a while and exits. The machine that has
# acknowledged this is killed at once and starts again. See claim.txt. TROUBLE=0:
# without the kill.
cd "$(dirname "$0")/../.." || exit 2
case=$PWD/review/6
record=$case/record.txt
. review/deployment-2.sh
drain_ms=2000
stable_ms=3000

start_worker() { # number id
  start "worker-$1" "$standin" worker --listen "$net.3$1:$("$standin" port)" \
    --control "$control" --id "$2" --backend orderdesk --zone a-hall --slots 6 \
    --born "$(date +%s%3N)" --record "$record"
}

for i in 1 2 3; do
  start_replica $i true
  replica_pids="$replica_pids $pid"
  kills="$kills${kills:+,}$net.$i=$pid"
done
start_entry 1
wait_for "acknowledgement of the manifest" operator PUT /-/config "$case/manifest.json"
start_worker 1 i-leaves
leaver_pid=$pid
for i in 2 3 4 5 6 7; do start_worker $i i-stays-$i; done
ready_entry 1
wait_for "registration" said "i-leaves is registered"
for i in 2 3 4 5 6 7; do wait_for "registration" said "i-stays-$i is registered"; done
sleep 4

# Ten requests a second, half a second of work each.
(
  n=0
  while [ -e "$work" ] && [ $n -lt 90 ]; do
    n=$((n + 1))
    client 1 "a$n" /stock/1 --method POST --deadline-ms 4000 \
      --header "Case: work 500" >/dev/null &
    sleep 0.1
  done
  wait
) &
clients=$!
sleep 1
kill -USR1 "$leaver_pid"
[ "${TROUBLE:-1}" != 0 ] || kills=
by=$("$standin" goodbye --id i-leaves --to "$control" --kill "$kills" \
  --record "$record") || fail "no acknowledgement of the goodbye"
acknowledged=$(date +%s%3N)
restarted=$acknowledged
if [ "${TROUBLE:-1}" != 0 ]; then
  sleep 0.1
  start_replica "${by##*.}" false
  restarted=$(date +%s%3N)
  note "the machine that was killed has started again"
fi
sleep 4.4
note "the worker exits"
kill -KILL "$leaver_pid"
wait "$clients"

# Requests that clients sent while the core had been stable for long enough, and
# that reached the worker too late.
in_touch=$((restarted + stable_ms + 100))
late=$((acknowledged + drain_ms))
awk -v in_touch=$in_touch -v late=$late '
  / client sends / { sent[$4] = $1 }
  / worker i-leaves runs / {
    id = $5
    sub(":", "", id)
    if ($1 > late && sent[id] > in_touch) {
      n++
      print "request " id " reached it " $1 - late " ms too late"
      ours[id] = 1
    }
  }
  / client gets the answer to / {
    id = $7
    sub(":", "", id)
    if (ours[id] && $8 != "200")
      print "its answer: " $0
  }
  END { exit n > 0 }' "$record" >"$work/late"
broken=$?
cat "$work/late"
cat "$work/late" >>"$record"
[ $broken = 0 ] || echo "DRAIN: requests reached a worker later than $drain_ms ms after its goodbye was acknowledged"
exit $broken
