//===- Base.h - Values shared by all modules --------------------*- C++ -*-===//
///
/// \file
/// \defgroup Base Base
/// Clock and duration types, typed identifiers, findings with their location,
/// hashing and seeded random numbers. Nothing in here performs I/O.
///
//===----------------------------------------------------------------------===//
#ifndef PIMENTOFRONT_BASE_H
#define PIMENTOFRONT_BASE_H

// Headers in the order of their dependencies.
// clang-format off
#include "src/Base/Time.h"
#include "src/Base/Identifier.h"
#include "src/Base/Finding.h"
#include "src/Base/Text.h"
#include "src/Base/Hash.h"
#include "src/Base/ContentHash.h"
#include "src/Base/Random.h"
// clang-format on

#endif
