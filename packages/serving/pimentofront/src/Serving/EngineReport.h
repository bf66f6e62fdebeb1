#ifndef PIMENTOFRONT_SERVING_ENGINE_REPORT_H
#define PIMENTOFRONT_SERVING_ENGINE_REPORT_H

#include "pimentofront/Wire.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace pimentofront {

/// \class LoadedModel
/// \ingroup Serving
struct LoadedModel {
  std::string Name;
  /// 0 if the engine doesn't state it.
  VersionNumber Version = 0;
  friend auto operator<=>(const LoadedModel &, const LoadedModel &) = default;
};

/// \class EngineReport
/// \ingroup Serving
/// \brief What an engine reports as loaded.
struct EngineReport {
  /// Loaded base models.
  std::vector<LoadedModel> Models;
  /// Loaded adapters, named "model/adapter".
  std::vector<AdapterKey> Adapters;
  /// Adapters that are being loaded.
  std::vector<AdapterKey> Pending;
  /// The engine is carrying out an order about a base model.
  bool Busy = false;
  /// When its process started, in milliseconds since 1970; 0 if unknown.
  std::uint64_t StartedAt = 0;
  /// Orders accepted since the process started.
  std::uint64_t OrdersAccepted = 0;

  bool hasModel(std::string_view name) const;
  /// \returns the loaded version of a base model; 0 if it isn't loaded or the
  /// engine doesn't state it.
  VersionNumber modelVersion(std::string_view name) const;
  /// \returns the loaded version of an adapter, if any.
  std::optional<VersionNumber> versionOf(const AdapterName &adapter) const;
  bool isPending(const AdapterName &adapter) const;
  /// \returns the weights with which the engine runs a request for \p adapter
  /// of \p model, or for the model alone if the adapter's name is empty;
  /// unknown if one of them isn't loaded.
  WeightsVersion weightsOf(std::string_view model,
                           const AdapterName &adapter) const;
  /// \returns the keys of the loaded adapters. An engine always states a
  /// version, also where none was ordered: an adapter that was loaded by an
  /// order in \p ordered has the key of that order.
  std::vector<AdapterKey>
  resident(const std::map<AdapterName, AdapterKey> &ordered) const;
  friend bool operator==(const EngineReport &, const EngineReport &) = default;
};

} // namespace pimentofront

#endif
