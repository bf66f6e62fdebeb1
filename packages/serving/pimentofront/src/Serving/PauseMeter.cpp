#include "pimentofront/Serving.h"

namespace pimentofront {

void PauseMeter::recordStream(TimePoint now, const EndedStream &stream) {
  if (Durations.size() >= Options.Capacity && !Durations.contains(stream.Route))
    Durations.clear();
  const auto [it, added] = Durations.emplace(stream.Route, stream.Took);
  constexpr int SmoothingShare = 8;
  if (!added)
    it->second += (stream.Took - it->second) / SmoothingShare;
  if (stream.PauseTarget > Duration::zero())
    recordPause(now, stream);
}

void PauseMeter::recordPause(TimePoint now, const EndedStream &stream) {
  if (Services.size() >= Options.Capacity && !Services.contains(stream.Service))
    Services.clear();
  Service &it = Services[stream.Service];
  const double factor = decayFactor(now - it.At, Options.HalfLife);
  it.Streams = it.Streams * factor + 1;
  it.OverPause = it.OverPause * factor + (stream.isOverPause() ? 1 : 0);
  it.At = now;
  if (it.Streams < Options.MinStreams)
    return;
  const bool disturbed = now < it.DisturbedUntil;
  const double limit = disturbed ? Options.LeaveShare : Options.EnterShare;
  if (it.OverPause >= limit * it.Streams)
    it.DisturbedUntil = now + Options.Dwell;
}

bool PauseMeter::isDisturbed(TimePoint now, const ServiceName &service) const {
  const auto it = Services.find(service);
  return it != Services.end() && now < it->second.DisturbedUntil;
}

Duration PauseMeter::meanDuration(const std::string &route) const {
  const auto it = Durations.find(route);
  return it == Durations.end() ? Duration::zero() : it->second;
}

} // namespace pimentofront
