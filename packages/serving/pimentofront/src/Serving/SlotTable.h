#ifndef PIMENTOFRONT_SERVING_SLOT_TABLE_H
#define PIMENTOFRONT_SERVING_SLOT_TABLE_H

#include "pimentofront/Wire.h"

#include <optional>
#include <vector>

namespace pimentofront {

enum class SlotState : std::uint8_t { Empty, Loading, Ready };

/// \class Slot
/// \ingroup Serving
/// \brief One adapter slot of an engine.
struct Slot {
  SlotState State = SlotState::Empty;
  AdapterKey Key;
  /// Requests that run on it. A slot with pins is never evicted.
  std::uint32_t Pins = 0;
  TimePoint LastUsed;
};

/// \returns whether a load may replace the adapter in this slot: it is loaded,
/// serves no request, and no request waits for it.
template <class Waiting>
bool mayEvict(const Slot &slot, const Waiting &waiting) {
  return slot.State == SlotState::Ready && slot.Pins == 0 &&
         !waiting.contains(slot.Key);
}

/// \class SlotTable
/// \ingroup Serving
/// \brief The contents of the slots of this agent's engine. No other process
/// knows them without delay. A key without an adapter stands for the base model
/// alone, which needs no slot.
class SlotTable {
public:
  explicit SlotTable(std::uint32_t slots) : Slots(slots) {}

  const std::vector<Slot> &all() const { return Slots; }
  bool isReady(const AdapterKey &key) const;
  bool isLoading(const AdapterKey &key) const;
  bool hasEmpty() const;
  /// \returns the slot with another version of the adapter, or null. An engine
  /// holds one version of an adapter at a time.
  const Slot *otherVersion(const AdapterKey &key) const;

  /// Reserves a slot for a load, in place of \p victim if it is set.
  /// \pre the victim is resident and has no pins; without a victim, a slot is
  /// empty.
  void beginLoad(const AdapterKey &key,
                 const std::optional<AdapterKey> &victim);
  void finishLoad(TimePoint now, const AdapterKey &key, bool succeeded);
  /// \pre the adapter is ready.
  void pin(TimePoint now, const AdapterKey &key);
  void unpin(TimePoint now, const AdapterKey &key);
  /// Changes the number of slots; only empty ones are removed.
  void resize(std::uint32_t slots);
  /// Adjusts the table to what the engine reports that it holds: empties the
  /// slots of adapters that are gone and serve no request, and adds adapters
  /// that were loaded by an order that was thought lost.
  void reconcile(TimePoint now, const std::vector<AdapterKey> &resident);
  /// The engine was restarted: all slots are empty and no request runs.
  void clear();
  /// Replaces the contents by what an engine held before this agent started.
  void adopt(TimePoint now, const std::vector<AdapterKey> &resident);

private:
  Slot *find(const AdapterKey &key);
  const Slot *find(const AdapterKey &key) const;

  std::vector<Slot> Slots;
};

} // namespace pimentofront

#endif
