//===- State.h - Configuration, claims and members --------------*- C++ -*-===//
///
/// \file
/// \defgroup State State
/// The replicated state machine: the configuration, the ledger of requests that
/// may not be executed twice, and the quarantine ledger. Also the leader's
/// table of live members and each process's copy of the configuration. Nothing
/// in this module performs I/O.
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
#include "src/State/PartLedger.h"
#include "src/State/QuarantineLedger.h"
#include "src/State/QuarantineReview.h"
#include "src/State/DepartureLedger.h"
#include "src/State/MemberTable.h"
#include "src/State/SoftwareHistory.h"
#include "src/State/StateMachine.h"
#include "src/State/ConfigurationCopy.h"
// clang-format on

#endif
