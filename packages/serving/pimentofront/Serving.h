//===- Serving.h - Placement, loads, limits and retries ---------*- C++ -*-===//
///
/// \file
/// \defgroup Serving Serving
/// The decisions about a request: routing, limits and retries in the entry,
/// admission, dispatch and slots in the agent, and the scheduling of adapter
/// loads. Controllers read and write a blackboard, take the current time as an
/// argument and leave typed commands; nothing in this module performs I/O.
///
//===----------------------------------------------------------------------===//
#ifndef PIMENTOFRONT_SERVING_H
#define PIMENTOFRONT_SERVING_H

#include "pimentofront/Wire.h"

// The order follows the dependencies between the headers.
// clang-format off
#include "src/Serving/AllowedZones.h"
#include "src/Serving/Popularity.h"
#include "src/Serving/SlotTable.h"
#include "src/Serving/UnansweredOrders.h"
#include "src/Serving/EngineReport.h"
#include "src/Serving/PrefillModel.h"
#include "src/Serving/LoadTimeModel.h"
#include "src/Serving/StreamOriginTable.h"
#include "src/Serving/KnownRateLimit.h"
#include "src/Serving/RequestPacer.h"
#include "src/Serving/SendPermitLedger.h"
#include "src/Serving/EngineSlowness.h"
#include "src/Serving/EvictionPolicy.h"
#include "src/Serving/AccountShares.h"
#include "src/Serving/AgentEvent.h"
#include "src/Serving/AgentBoard.h"
#include "src/Serving/ReadingPause.h"
#include "src/Serving/RequestOrder.h"
#include "src/Serving/StrideOrder.h"
#include "src/Serving/UrgencyOrder.h"
#include "src/Serving/TokenOrder.h"
#include "src/Serving/LoadGate.h"
#include "src/Serving/StoreSlowdown.h"
#include "src/Serving/AdaptiveLoads.h"
#include "src/Serving/HybridLoads.h"
#include "src/Serving/DisplacementPolicy.h"
#include "src/Serving/AdmissionController.h"
#include "src/Serving/DispatchController.h"
#include "src/Serving/LoadController.h"
#include "src/Serving/AgentController.h"
#include "src/Serving/LoadScheduler.h"
#include "src/Serving/RetryBudget.h"
#include "src/Serving/InFlightLimits.h"
#include "src/Serving/RoutingPolicy.h"
#include "src/Serving/PauseMeter.h"
#include "src/Serving/EngineBalance.h"
#include "src/Serving/ShapePlacement.h"
#include "src/Serving/PrefixRouting.h"
#include "src/Serving/EntryBoard.h"
#include "src/Serving/EntryController.h"
// clang-format on

#endif
