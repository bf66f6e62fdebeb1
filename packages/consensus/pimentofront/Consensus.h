//===- Consensus.h - A replicated log -------------------------*- C++ -*-===//
///
/// \file
/// \defgroup Consensus Consensus
/// A replicated log after Raft (Ongaro, 2014), with pre-vote, check-quorum, a
/// leader lease for reads, learners, membership changes of one replica at a
/// time, and disk identities. ReplicatedLog implements the protocol without
/// I/O; FileLogStore persists the log.
///
//===----------------------------------------------------------------------===//
#ifndef PIMENTOFRONT_CONSENSUS_H
#define PIMENTOFRONT_CONSENSUS_H

#include "pimentofront/Wire.h"

// The parts, in the order of their dependencies.
// clang-format off
#include "src/Consensus/GroupStatus.h"
#include "src/Consensus/LogStore.h"
#include "src/Consensus/ReplicatedLog.h"
#include "src/Consensus/FileLogStore.h"
// clang-format on

#endif
