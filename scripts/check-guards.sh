#!/bin/sh
# Mutation test: removes each guard in a copy of the tree and checks that a test
# fails without it, since a test that can't fail proves nothing. Prints one line for
# each guard.
set -eu
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$copy"
cd "$copy"
cmake -G Ninja -S . -B build >/dev/null
ninja -j 4 -C build pimentofront-test >/dev/null
failed=0

guard() { # what file from to tests
  cp "$2" "$copy/saved"
  python3 - "$2" "$3" "$4" <<'EOF'
import sys
path, old, new = sys.argv[1:4]
text = open(path).read()
assert old in text, f"{path} has no '{old}'"
open(path, "w").write(text.replace(old, new, 1))
EOF
  if ! ninja -j 4 -C build pimentofront-test >"$copy/build.out" 2>&1; then
    echo "NOT BUILT: $1"
    failed=1
  elif build/test/pimentofront-test "$5" >"$copy/out" 2>&1 ||
    grep -q "No test cases matched" "$copy/out"; then
    echo "NOT NOTICED: $1"
    failed=1
  else
    echo "noticed: $1"
    grep -hoE 'Assertion .*|[a-z-]+\.scenario:[0-9]+: .*|[0-9.]+s: [a-z0-9].*' "$copy/out" | head -2 | sed 's/^/    /'
  fi
  cp "$copy/saved" "$2"
}

serving=packages/serving/pimentofront/src/Serving
scenarios="the scenarios by name"
guard "an entry refuses requests while its configuration isn't confirmed" \
  $serving/EntryController.cpp 'if (!Board.Configuration.isConfirmed(now))' 'if (false)' "$scenarios"
guard "an adapter in use is not evicted" \
  $serving/SlotTable.h 'slot.Pins == 0 &&' '' "an adapter in use is never evicted"
guard "a leaving host accepts no new requests" \
  $serving/AdmissionController.cpp 'if (Board.Leaving)' 'if (false)' "$scenarios"
guard "a non-idempotent request is not retried" \
  $serving/EntryController.cpp 'if (!request.Caller.Idempotent)
    return finish(request, unknown(why));' '' "$scenarios"
guard "a claim is granted only once" \
  packages/state/pimentofront/src/State/ClaimLedger.cpp \
  'if (!released || outcome.Result != CommandResult::Accepted)' 'if (false)' "$scenarios"
guard "an incomplete answer is not delivered as complete" \
  $serving/EntryController.cpp 'message.Tokens == request->Attempt->Tokens' 'true' \
  "an answer with a missing part is not delivered as complete"
guard "a leader without a valid lease doesn't act as leader" \
  packages/consensus/pimentofront/src/Consensus/Election.cpp \
  'return now < since + Options.ElectionTimeout - Options.ClockMargin;' 'return true;' \
  "a leader's lease counts from when its request was sent"
guard "a replica that has just started grants no vote" \
  packages/consensus/pimentofront/src/Consensus/Election.cpp \
  'leaderAlive || now < NoVoteBefore' 'leaderAlive' \
  "a replica that has just started grants no vote"
guard "log entries are not committed before they are synced" \
  packages/consensus/pimentofront/src/Consensus/Replication.cpp \
  '? Synced' '? lastIndex()' "a group of one commits what it has synced"
guard "a configuration copy ignores records older than its revision" \
  packages/state/pimentofront/src/State/ConfigurationCopy.cpp \
  'if (changedAt(it) <= Records.revision())' 'if (false)' \
  "a copy keeps its revision after older records and partial updates"
guard "an engine that was found running is not used before it has settled" \
  $serving/AgentController.cpp 'if (now < *Board.EngineIdleSince + settleTime)' 'if (false)' \
  "an agent that starts beside a running engine waits until the engine has settled"
guard "a replica doesn't use a link that another node of its process opened" \
  packages/node/pimentofront/src/Node/ReplicaNode.cpp \
  'if (hello.Replica == 0 || (hello.Accepted && !ours))' 'if (hello.Replica == 0)' \
  "random schedules of faults with fixed seeds"
guard "when one of two links to a replica closes, the other one is used" \
  packages/node/pimentofront/src/Node/ReplicaNode.cpp \
  'if (other != ReplicaOfLink.end())' 'if (false)' \
  "when one of two links to a replica ends the other one serves"
guard "of two conflicting operator commands only one is accepted" \
  packages/state/pimentofront/src/State/StateMachine.cpp \
  'return conflict(adapter->ChangedBy, "the version exists");' '{}' "$scenarios"
exit $failed
