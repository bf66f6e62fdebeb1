//===- Account.h - Client accounts, keys and allotments ---------*- C++ -*-===//
///
/// \file
/// \defgroup Account Account
/// Authentication and rate limiting of client accounts. AccountTable finds the
/// client account that holds a key. AllotmentLedger, at the leader of the
/// replicas, and AllotmentLeases, at each entry, keep an account below its
/// allotment across the whole fleet. The package does no I/O: the nodes carry
/// reports and grants between ledger and leases.
///
/// Use an allotment for a limit on all entries together. For a limit on a
/// single process, a counter in that process is enough.
///
//===----------------------------------------------------------------------===//
#ifndef PIMENTOFRONT_ACCOUNT_H
#define PIMENTOFRONT_ACCOUNT_H

#include "pimentofront/Wire.h"

// Headers in the order of their dependencies.
// clang-format off
#include "src/Account/KeyDigest.h"
#include "src/Account/ClientAccount.h"
#include "src/Account/AccountTable.h"
#include "src/Account/AllotmentBucket.h"
#include "src/Account/LeaseSizing.h"
#include "src/Account/AllotmentLedger.h"
#include "src/Account/AllotmentLeases.h"
// clang-format on

#endif
