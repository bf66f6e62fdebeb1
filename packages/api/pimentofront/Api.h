//===- Api.h - The Connect protocol ----------------------------*- C++ -*-===//
///
/// \file
/// \defgroup Api Api
/// The Connect protocol (connectrpc.com/docs/protocol) on top of HTTP/1.1:
/// unary bodies in JSON and binary protobuf, enveloped streams, errors. The
/// messages are generated from proto/pimentofront.proto.
///
//===----------------------------------------------------------------------===//
#ifndef PIMENTOFRONT_API_H
#define PIMENTOFRONT_API_H

#include "pimentofront/Base.h"

// The parts, in the order of their dependencies.
// clang-format off
#include "src/Api/Envelope.h"
#include "src/Api/Connect.h"
// clang-format on

#endif
