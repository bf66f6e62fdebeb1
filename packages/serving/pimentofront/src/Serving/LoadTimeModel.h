#ifndef PIMENTOFRONT_SERVING_LOAD_TIME_MODEL_H
#define PIMENTOFRONT_SERVING_LOAD_TIME_MODEL_H

#include "pimentofront/Wire.h"

#include <list>
#include <unordered_map>

namespace pimentofront {

/// \class LoadTimeModelOptions
/// \ingroup Serving
struct LoadTimeModelOptions {
  /// Estimated time of a load from the weight store, until one has been
  /// measured.
  Duration StoreTime = std::chrono::milliseconds(250);
  /// Estimated time of a load from a local copy, relative to a load from the
  /// store, until one has been measured.
  double CopyTimeRatio = 0.25;
  /// A load that takes more than this share of a load from the store came from
  /// the store: the engine no longer had a copy.
  double StoreTimeThreshold = 0.5;
  /// Weight of the newest measurement in the moving average.
  double LearningRate = 0.125;
  /// Maximum number of adapters that are remembered.
  std::size_t Capacity = 1024;
};

/// \class LoadTimeModel
/// \ingroup Serving
/// \brief Estimates how long a load will take. An engine keeps copies of
/// adapters that it has held, and loads them many times faster than from the
/// weight store.
///
/// Remembers the adapters that the engine has held since its start, most
/// recently held first. The number of copies that the engine keeps is learned:
/// when an adapter with an expected copy is loaded from the store, only the
/// adapters held after it are expected to have copies.
class LoadTimeModel {
public:
  explicit LoadTimeModel(const LoadTimeModelOptions &options)
      : Options(options), StoreTime(options.StoreTime),
        CopyTime(
            fromSeconds(toSeconds(options.StoreTime) * options.CopyTimeRatio)),
        CopyCount(options.Capacity) {}

  /// \returns the expected time of a load of \p key.
  Duration expected(const AdapterKey &key) const {
    return hasCopy(key) ? CopyTime : StoreTime;
  }
  /// \returns the expected time of a load from the weight store.
  Duration fromStore() const { return StoreTime; }
  bool hasCopy(const AdapterKey &key) const;
  /// Records that a load of \p key took \p took; the engine holds the adapter
  /// now.
  void onLoaded(const AdapterKey &key, Duration took);
  /// Records that the engine holds \p key.
  void onHeld(const AdapterKey &key);
  /// Forgets all copies, for a new process of the engine: it may have none.
  void clear();

private:
  void learn(Duration &mean, Duration took) const;
  /// \returns how many adapters were held after \p key.
  /// \pre \p key is remembered.
  std::size_t positionOf(const AdapterKey &key) const;

  LoadTimeModelOptions Options;
  Duration StoreTime;
  Duration CopyTime;
  /// Most recently held first.
  std::list<AdapterKey> RecentlyHeld;
  std::unordered_map<AdapterKey, std::list<AdapterKey>::iterator> Positions;
  /// Number of copies that the engine keeps, as far as is known.
  std::size_t CopyCount;
};

} // namespace pimentofront

#endif
