//===- Testkit.h - A small world in virtual time ----------------*- C++ -*-===//
///
/// \file
/// \defgroup Testkit Testkit
/// The real nodes, as processes of a world with its own clock: links with
/// delays and cuts, fake engines, services and a weight store, callers, and a
/// ledger that checks what must always hold. Scenarios and replays run on it.
/// The same seed gives the same run.
///
//===----------------------------------------------------------------------===//
#ifndef PIMENTOFRONT_TESTKIT_H
#define PIMENTOFRONT_TESTKIT_H

#include "pimentofront/Node.h"

// The parts, in the order of their dependencies.
// clang-format off
#include "src/Testkit/Ledger.h"
#include "src/Testkit/FakeBackend.h"
#include "src/Testkit/World.h"
#include "src/Testkit/PlainHeaders.h"
#include "src/Testkit/ForwardFleet.h"
#include "src/Testkit/Scenario.h"
#include "src/Testkit/Trace.h"
#include "src/Testkit/Replay.h"
// clang-format on

#endif
