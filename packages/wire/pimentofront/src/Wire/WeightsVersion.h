#ifndef PIMENTOFRONT_WIRE_WEIGHTS_VERSION_H
#define PIMENTOFRONT_WIRE_WEIGHTS_VERSION_H

#include "Fields.h"
#include "pimentofront/Base.h"

#include <string>

namespace pimentofront {

/// \class WeightsVersion
/// \ingroup Wire
/// \brief The versions of the base model and of the adapter that an engine runs
/// a request with, as the engine reports them.
///
/// What an engine caches of a prompt is valid for these weights only. They may
/// differ from the version that a request names: engines load the newest base
/// model when they start, and the newest version of an adapter for which the
/// configuration names none.
struct WeightsVersion {
  /// 0 if the versions aren't known.
  VersionNumber Model = 0;
  /// 0 for the base model alone.
  VersionNumber Adapter = 0;
  bool isKnown() const { return Model != 0; }
  PIMENTOFRONT_FIELDS(WeightsVersion, Model, Adapter)
};

/// \returns \p weights as "model 4, adapter 1", for logs.
inline std::string describe(const WeightsVersion &weights) {
  if (!weights.isKnown())
    return "unknown weights";
  return "model " + std::to_string(weights.Model) + ", adapter " +
         std::to_string(weights.Adapter);
}

} // namespace pimentofront

#endif
