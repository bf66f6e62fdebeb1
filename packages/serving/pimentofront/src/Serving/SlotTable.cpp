#include "pimentofront/Serving.h"

#include <algorithm>
#include <cassert>

namespace pimentofront {

const Slot *SlotTable::find(const AdapterKey &key) const {
  const auto it = std::ranges::find_if(Slots, [&](const Slot &slot) {
    return slot.State != SlotState::Empty && slot.Key == key;
  });
  return it == Slots.end() ? nullptr : &*it;
}

Slot *SlotTable::find(const AdapterKey &key) {
  return const_cast<Slot *>(std::as_const(*this).find(key));
}

bool SlotTable::isReady(const AdapterKey &key) const {
  if (key.Adapter.empty())
    return true;
  const Slot *slot = find(key);
  return slot && slot->State == SlotState::Ready;
}

bool SlotTable::isLoading(const AdapterKey &key) const {
  const Slot *slot = find(key);
  return slot && slot->State == SlotState::Loading;
}

bool SlotTable::hasEmpty() const {
  return std::ranges::any_of(
      Slots, [](const Slot &it) { return it.State == SlotState::Empty; });
}

void SlotTable::beginLoad(const AdapterKey &key,
                          const std::optional<AdapterKey> &victim) {
  assert(!find(key) && "an adapter is in at most one slot of an engine");
  Slot *slot = nullptr;
  if (victim) {
    slot = find(*victim);
  } else {
    const auto it = std::ranges::find(Slots, SlotState::Empty, &Slot::State);
    slot = it == Slots.end() ? nullptr : &*it;
  }
  assert(slot && "the victim is resident, or a slot is empty");
  assert(slot->Pins == 0 && "an adapter that serves a request is not evicted");
  *slot = Slot{.State = SlotState::Loading, .Key = key};
}

void SlotTable::finishLoad(TimePoint now, const AdapterKey &key,
                           bool succeeded) {
  Slot *slot = find(key);
  if (!slot || slot->State != SlotState::Loading)
    return;
  if (!succeeded) {
    *slot = Slot{};
    return;
  }
  slot->State = SlotState::Ready;
  slot->LastUsed = now;
}

void SlotTable::pin(TimePoint now, const AdapterKey &key) {
  if (key.Adapter.empty())
    return;
  Slot *slot = find(key);
  assert(slot && slot->State == SlotState::Ready &&
         "only a loaded adapter can serve");
  ++slot->Pins;
  slot->LastUsed = now;
}

void SlotTable::unpin(TimePoint now, const AdapterKey &key) {
  Slot *slot = find(key);
  if (!slot || slot->Pins == 0)
    return;
  --slot->Pins;
  slot->LastUsed = now;
}

const Slot *SlotTable::otherVersion(const AdapterKey &key) const {
  const auto it = std::ranges::find_if(Slots, [&](const Slot &slot) {
    return slot.State != SlotState::Empty && slot.Key.Adapter == key.Adapter &&
           slot.Key.Version != key.Version;
  });
  return it == Slots.end() ? nullptr : &*it;
}

void SlotTable::resize(std::uint32_t slots) {
  while (Slots.size() > slots && Slots.back().State == SlotState::Empty)
    Slots.pop_back();
  if (Slots.size() < slots)
    Slots.resize(slots);
}

void SlotTable::reconcile(TimePoint now,
                          const std::vector<AdapterKey> &resident) {
  for (Slot &it : Slots)
    if (it.State == SlotState::Ready && it.Pins == 0 &&
        std::ranges::find(resident, it.Key) == resident.end())
      it = Slot{};
  for (const AdapterKey &it : resident) {
    if (find(it) || otherVersion(it))
      continue;
    const auto empty = std::ranges::find(Slots, SlotState::Empty, &Slot::State);
    if (empty != Slots.end())
      *empty = {.State = SlotState::Ready, .Key = it, .LastUsed = now};
  }
}

void SlotTable::clear() { Slots.assign(Slots.size(), Slot{}); }

void SlotTable::adopt(TimePoint now, const std::vector<AdapterKey> &resident) {
  clear();
  const std::size_t n = std::min(resident.size(), Slots.size());
  for (std::size_t i = 0; i < n; ++i)
    Slots[i] = Slot{.State = SlotState::Ready,
                    .Key = resident[i],
                    .Pins = 0,
                    .LastUsed = now};
}

} // namespace pimentofront
