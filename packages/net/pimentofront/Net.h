//===- Net.h - Event loop, HTTP and links between processes -----*- C++ -*-===//
///
/// \file
/// \defgroup Net Net
/// The only module that reads a clock and, with Http, the only one that reads
/// sockets. One event loop on one thread runs timers, signals, HTTP servers and
/// clients, and the links between the system's own processes (WebSocket with
/// CBOR frames). Makes no decisions.
///
//===----------------------------------------------------------------------===//
#ifndef PIMENTOFRONT_NET_H
#define PIMENTOFRONT_NET_H

#include "pimentofront/Node.h"

// The parts, in the order of their dependencies.
// clang-format off
#include "src/Net/EventLoop.h"
#include "src/Net/CallOnce.h"
#include "src/Net/Socket.h"
#include "src/Net/HttpServer.h"
#include "src/Net/HttpClient.h"
#include "src/Net/PeerNetwork.h"
// clang-format on

#endif
