//===- Http.h - HTTP/1.1 between callers and backend servers ----*- C++ -*-===//
///
/// \file
/// \defgroup Http Http
/// HTTP/1.1 for forwarded requests: one strict parser (http-parser) for
/// requests and responses, the callers' connections, and keep-alive connections
/// to backend servers. This project's own interface, the operators' calls and
/// the metrics are served by HttpServer in Net.
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
#include "src/Http/ResponseMeter.h"
#include "src/Http/UpstreamPool.h"
#include "src/Http/ConnectProbe.h"
// clang-format on

#endif
