//===- Http.h - HTTP/1.1 between callers and backend servers ----*- C++ -*-===//
///
/// \file
/// \defgroup Http Http
/// HTTP/1.1 for requests that are passed on: one strict parser (http-parser)
/// for both sides, the connections of callers, and kept connections to backend
/// servers. For calls of this project's own interface, operators and metrics
/// there is HttpServer in Net.
///
//===----------------------------------------------------------------------===//
#ifndef PIMENTOFRONT_HTTP_H
#define PIMENTOFRONT_HTTP_H

#include "pimentofront/Net.h"

// The parts, in the order of their dependencies.
// clang-format off
#include "src/Http/HttpParser.h"
#include "src/Http/HttpWriter.h"
#include "src/Http/CallerListener.h"
#include "src/Http/UpstreamPool.h"
#include "src/Http/ConnectProbe.h"
// clang-format on

#endif
