//===- Forward.h - Requests that are forwarded unchanged --------*- C++ -*-===//
///
/// \file
/// \defgroup Forward Forward
/// An entry's decisions about requests that it forwards unchanged: to which
/// service and backend server, when to send once more, when to give up, and
/// which answer the caller gets. No I/O: the node reports what callers, agents
/// and backend servers did, and executes the commands that the controller
/// issues. Use it in front of backend servers that speak HTTP; for calls of
/// this project's own interface there is EntryController.
///
//===----------------------------------------------------------------------===//
#ifndef PIMENTOFRONT_FORWARD_H
#define PIMENTOFRONT_FORWARD_H

#include "pimentofront/State.h"

// In the order of their dependencies.
// clang-format off
#include "src/Forward/HttpMessage.h"
#include "src/Forward/RoutingDocument.h"
#include "src/Forward/RoutingTable.h"
#include "src/Forward/ServerFeedback.h"
#include "src/Forward/AnswerEnd.h"
#include "src/Forward/HeaderCodec.h"
#include "src/Forward/SharedParts.h"
#include "src/Forward/EventStream.h"
#include "src/Forward/ConnectionShare.h"
#include "src/Forward/SendPermits.h"
#include "src/Forward/ServerPace.h"
#include "src/Forward/ServerView.h"
#include "src/Forward/PlainRoom.h"
#include "src/Forward/PlainQueue.h"
#include "src/Forward/PlainAdmission.h"
#include "src/Forward/ServerScore.h"
#include "src/Forward/ServerSet.h"
#include "src/Forward/PromptFetch.h"
#include "src/Forward/RetryBudgets.h"
#include "src/Forward/Headroom.h"
#include "src/Forward/ByteBudget.h"
#include "src/Forward/ReceiveGate.h"
#include "src/Forward/CloseOrder.h"
#include "src/Forward/ServerBytes.h"
#include "src/Forward/QuarantineSet.h"
#include "src/Forward/SuspectParts.h"
#include "src/Forward/ArrivalGaps.h"
#include "src/Forward/ForwardBoard.h"
#include "src/Forward/DemandOf.h"
#include "src/Forward/AccountController.h"
#include "src/Forward/DeferController.h"
#include "src/Forward/StreamOriginController.h"
#include "src/Forward/QuarantineController.h"
#include "src/Forward/PlainController.h"
#include "src/Forward/AttemptController.h"
#include "src/Forward/AnswerController.h"
#include "src/Forward/ForwardController.h"
// clang-format on

#endif
