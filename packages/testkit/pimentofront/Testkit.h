//===- Testkit.h - Simulation in virtual time -------------------*- C++ -*-===//
///
/// \file
/// \defgroup Testkit Testkit
/// A deterministic discrete-event simulation that runs the production node
/// classes in simulated processes on one virtual clock. It simulates links with
/// delays and network partitions, engines, services, a weight store and
/// callers. A ledger checks the invariants. Scenarios and replays run on it.
/// The same seed gives the same run.
///
//===----------------------------------------------------------------------===//
#ifndef PIMENTOFRONT_TESTKIT_H
#define PIMENTOFRONT_TESTKIT_H

#include "pimentofront/Node.h"

// In the order of their dependencies.
// clang-format off
#include "src/Testkit/Ledger.h"
#include "src/Testkit/FakeBackend.h"
#include "src/Testkit/Simulation.h"
#include "src/Testkit/TestHeaderCodec.h"
#include "src/Testkit/ForwardFleet.h"
#include "src/Testkit/Scenario.h"
#include "src/Testkit/Trace.h"
#include "src/Testkit/Replay.h"
// clang-format on

#endif
