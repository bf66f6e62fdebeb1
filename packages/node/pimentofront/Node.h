//===- Node.h - Roles of a process ------------------------------*- C++ -*-===//
///
/// \file
/// \defgroup Node Node
/// Replica, entry and agent: each connects the controllers of the other modules
/// to links, a log store, an engine and callers, all of them abstract. The same
/// nodes run in the daemon, in scenarios under virtual time and in replays.
///
//===----------------------------------------------------------------------===//
#ifndef PIMENTOFRONT_NODE_H
#define PIMENTOFRONT_NODE_H

#include "pimentofront/Consensus.h"
#include "pimentofront/Forward.h"

// The parts, in the order of their dependencies.
// clang-format off
#include "src/Node/Transport.h"
#include "src/Node/LeaderLink.h"
#include "src/Node/LinkWatch.h"
#include "src/Node/Subscribers.h"
#include "src/Node/DocumentCodec.h"
#include "src/Node/LedgerKeeper.h"
#include "src/Node/ReplicaNode.h"
#include "src/Node/AgentNode.h"
#include "src/Node/FollowWatch.h"
#include "src/Node/ReplicaFeed.h"
#include "src/Node/ProposalQueue.h"
#include "src/Node/AgentLinks.h"
#include "src/Node/OriginKeepers.h"
#include "src/Node/EntryNode.h"
#include "src/Node/ForwardNode.h"
// clang-format on

#endif
