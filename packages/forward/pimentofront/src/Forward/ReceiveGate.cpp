#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {

bool ReceiveGate::mayRead(Id id, std::size_t bytes, std::size_t total) const {
  if (Options.Limit == 0 || id == Unfinished.begin()->first)
    return true;
  return total + headroomBeside(bytes, Options.Limit) <= Options.Limit;
}

bool ReceiveGate::record(TimePoint now, Id id, std::size_t bytes) {
  const auto [it, isNew] = Unfinished.try_emplace(id);
  Request &request = it->second;
  Total = Total - request.Bytes + bytes;
  request.Bytes = bytes;
  if (isNew || bytes < request.ProgressBytes ||
      bytes >= request.ProgressBytes + Options.MinProgressBytes) {
    request.ProgressBytes = bytes;
    request.ProgressAt = now;
  }
  if (mayRead(id, bytes, Total))
    return true;
  Stopped.insert(id);
  if (!request.StoppedAt)
    request.StoppedAt = now;
  return false;
}

void ReceiveGate::remove(Id id) {
  Stopped.erase(id);
  const auto it = Unfinished.find(id);
  if (it == Unfinished.end())
    return;
  Total -= it->second.Bytes;
  Unfinished.erase(it);
}

std::vector<ReceiveGate::Id> ReceiveGate::takeResumed(TimePoint now) {
  std::vector<Id> resumed;
  // Each resumed request may add one read before it is recorded again.
  std::size_t expected = Total;
  for (const Id it : Stopped) {
    if (!mayRead(it, Unfinished.at(it).Bytes, expected + Options.ReadBytes))
      continue;
    expected += Options.ReadBytes;
    resumed.push_back(it);
  }
  for (const Id it : resumed) {
    Stopped.erase(it);
    Unfinished.at(it).ProgressAt = now;
  }
  return resumed;
}

bool ReceiveGate::isSurplus(TimePoint now, Id id,
                            const Request &request) const {
  if (Stopped.contains(id))
    return now >= *request.StoppedAt + Options.MaxWait;
  return now >= request.ProgressAt + Options.StallTime;
}

std::vector<ReceiveGate::Id> ReceiveGate::findSurplus(TimePoint now) const {
  if (Stopped.empty())
    return {};
  std::vector<std::pair<std::size_t, Id>> surplus;
  for (const auto &[id, it] : Unfinished)
    if (isSurplus(now, id, it))
      surplus.emplace_back(it.Bytes, id);
  std::ranges::sort(surplus, std::greater<>());
  std::vector<Id> result;
  std::size_t left = Total;
  for (const auto &[bytes, id] : surplus) {
    if (left <= Options.Limit / 2)
      break;
    left -= bytes;
    result.push_back(id);
  }
  return result;
}

} // namespace pimentofront
