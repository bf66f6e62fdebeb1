//===- State.h - Configuration, claims and members --------------*- C++ -*-===//
///
/// \file
/// \defgroup State State
/// What the replicas agree on: the configuration and the ledger of requests
/// that may not be repeated. Beside it the leader's table of live members, and
/// the copy of the configuration that each process keeps. No I/O in here.
///
//===----------------------------------------------------------------------===//
#ifndef PIMENTOFRONT_STATE_H
#define PIMENTOFRONT_STATE_H

#include "pimentofront/Serving.h"

// The parts, in the order of their dependencies.
// clang-format off
#include "src/State/AdapterStore.h"
#include "src/State/Configuration.h"
#include "src/State/EvacuationOrders.h"
#include "src/State/ClaimLedger.h"
#include "src/State/QuarantineLedger.h"
#include "src/State/QuarantineReview.h"
#include "src/State/StateMachine.h"
#include "src/State/MemberTable.h"
#include "src/State/ConfigurationCopy.h"
// clang-format on

#endif
