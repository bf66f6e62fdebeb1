#include "pimentofront/Http.h"

namespace pimentofront {

bool ReceiveGate::mayRead(Id id) const {
  if (Limit == 0 || Total <= Limit)
    return true;
  std::size_t older = 0;
  for (const auto &[other, bytes] : Unfinished) {
    if (other == id)
      return older == 0 || older + bytes <= Limit;
    older += bytes;
  }
  return true;
}

bool ReceiveGate::record(Id id, std::size_t bytes) {
  std::size_t &held = Unfinished[id];
  Total = Total - held + bytes;
  held = bytes;
  if (mayRead(id))
    return true;
  Stopped.insert(id);
  return false;
}

void ReceiveGate::remove(Id id) {
  Stopped.erase(id);
  const auto it = Unfinished.find(id);
  if (it == Unfinished.end())
    return;
  Total -= it->second;
  Unfinished.erase(it);
}

std::vector<ReceiveGate::Id> ReceiveGate::takeResumed() {
  std::vector<Id> resumed;
  for (const Id it : Stopped)
    if (mayRead(it))
      resumed.push_back(it);
  for (const Id it : resumed)
    Stopped.erase(it);
  return resumed;
}

} // namespace pimentofront
