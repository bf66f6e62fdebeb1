#ifndef PIMENTOFRONT_SERVING_LOAD_TIME_MODEL_H
#define PIMENTOFRONT_SERVING_LOAD_TIME_MODEL_H

#include "pimentofront/Wire.h"

#include <list>
#include <unordered_map>

namespace pimentofront {

/// \class LoadTimeModelOptions
/// \ingroup Serving
struct LoadTimeModelOptions {
  /// What a load from the weight store takes, until one has been measured.
  Duration Store = std::chrono::milliseconds(250);
  /// What a load of a copy takes, in parts of one from the store, until one has
  /// been measured.
  double CopyPart = 0.25;
  /// A load that takes more than this part of one from the store came from
  /// there: the engine had no copy any more.
  double StorePart = 0.5;
  /// Weight of the newest measurement.
  double LearningRate = 0.125;
  /// Adapters that are remembered, at most.
  std::size_t Capacity = 1024;
};

/// \class LoadTimeModel
/// \ingroup Serving
/// \brief How long a load will take: an engine keeps copies of adapters that it
/// has held, and has them back many times sooner than from the weight store.
///
/// Remembers what the engine has held since it started, the latest first. How
/// many copies it keeps is learned: when one that should be there came from the
/// store, only those that were held after it are believed to be.
class LoadTimeModel {
public:
  explicit LoadTimeModel(const LoadTimeModelOptions &options)
      : Options(options), Store(options.Store),
        Copy(fromSeconds(toSeconds(options.Store) * options.CopyPart)),
        Depth(options.Capacity) {}

  /// \returns what a load of \p key takes.
  Duration expected(const AdapterKey &key) const {
    return hasCopy(key) ? Copy : Store;
  }
  /// \returns what a load from the weight store takes.
  Duration fromStore() const { return Store; }
  bool hasCopy(const AdapterKey &key) const;
  /// A load of \p key has taken so long; the engine holds it now.
  void onLoaded(const AdapterKey &key, Duration took);
  /// The engine holds \p key.
  void onHeld(const AdapterKey &key);
  /// Another process of the engine: it may have no copies.
  void clear();

private:
  void learn(Duration &mean, Duration took) const;
  /// \returns how many adapters were held after \p key.
  /// \pre it is remembered.
  std::size_t placeOf(const AdapterKey &key) const;

  LoadTimeModelOptions Options;
  Duration Store;
  Duration Copy;
  /// The latest first.
  std::list<AdapterKey> Held;
  std::unordered_map<AdapterKey, std::list<AdapterKey>::iterator> Places;
  /// Copies that the engine keeps, as far as is known.
  std::size_t Depth;
};

} // namespace pimentofront

#endif
