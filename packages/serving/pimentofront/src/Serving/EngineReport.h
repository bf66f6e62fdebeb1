#ifndef PIMENTOFRONT_SERVING_ENGINE_REPORT_H
#define PIMENTOFRONT_SERVING_ENGINE_REPORT_H

#include "pimentofront/Base.h"

#include <optional>
#include <string_view>
#include <vector>

namespace pimentofront {

/// \class EngineReport
/// \ingroup Serving
/// \brief What an engine reports as loaded.
struct EngineReport {
  /// Loaded base models.
  std::vector<std::string> Models;
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
  /// \returns the loaded version of an adapter, if any.
  std::optional<VersionNumber> versionOf(const AdapterName &adapter) const;
  bool isPending(const AdapterName &adapter) const;
  friend bool operator==(const EngineReport &, const EngineReport &) = default;
};

} // namespace pimentofront

#endif
