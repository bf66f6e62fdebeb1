//===- Wire.h - Typed messages between the processes ------------*- C++ -*-===//
///
/// \file
/// \defgroup Wire Wire
/// The messages that the system's own processes exchange, the records and
/// commands of the replicated state, and their CBOR encoding. A message is a
/// struct of values with comparison; its field list defines its format.
///
//===----------------------------------------------------------------------===//
#ifndef PIMENTOFRONT_WIRE_H
#define PIMENTOFRONT_WIRE_H

#include "pimentofront/Base.h"

// Headers in the order of their dependencies.
// clang-format off
#include "src/Wire/Fields.h"
#include "src/Wire/Records.h"
#include "src/Wire/Quarantine.h"
#include "src/Wire/Allotment.h"
#include "src/Wire/Commands.h"
#include "src/Wire/ConsensusMessages.h"
#include "src/Wire/RateLimit.h"
#include "src/Wire/RequestDemand.h"
#include "src/Wire/WeightsVersion.h"
#include "src/Wire/AttemptMessages.h"
#include "src/Wire/ControlMessages.h"
#include "src/Wire/StreamOrigin.h"
#include "src/Wire/Message.h"
#include "src/Wire/Codec.h"
#include "src/Wire/PackedText.h"
// clang-format on

#endif
