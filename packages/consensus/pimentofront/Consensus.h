//===- Consensus.h - A replicated log -------------------------*- C++ -*-===//
///
/// \file
/// \defgroup Consensus Consensus
/// A log that a group of replicas agrees on, after Raft (Ongaro, 2014), with
/// pre-vote, check-quorum, a leader lease for reads, learners, one change of
/// members at a time, and identities of disks. ReplicatedLog decides and
/// performs no I/O; FileLogStore keeps what must survive.
///
//===----------------------------------------------------------------------===//
#ifndef PIMENTOFRONT_CONSENSUS_H
#define PIMENTOFRONT_CONSENSUS_H

#include "pimentofront/Wire.h"

// The parts, in the order of their dependencies.
// clang-format off
#include "src/Consensus/LogStore.h"
#include "src/Consensus/ReplicatedLog.h"
#include "src/Consensus/FileLogStore.h"
// clang-format on

#endif
