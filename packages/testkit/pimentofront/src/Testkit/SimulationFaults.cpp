//===- SimulationFaults.cpp - Losses of power and failing stores -*- C++
//-*-===//

#include "pimentofront/Testkit.h"

namespace pimentofront::testkit {

void Simulation::powerOff(SimulatedProcess &process) {
  process.Dark = true;
  kill(process);
}

void Simulation::powerOn(SimulatedProcess &process) {
  process.Dark = false;
  for (const auto &[host, it] : Processes)
    if (!isCut(host, process.Spec.Host) && !isCut(process.Spec.Host, host))
      resetStaleLinks(host, process.Spec.Host);
  start(process);
}

//===----------------------------------------------------------------------===//
// Stores, as the daemon handles them
//===----------------------------------------------------------------------===//

void Simulation::openReplica(SimulatedProcess &process) {
  if (process.Disk->Unreadable)
    return openReplicaLater(process);
  ReplicaNodeOptions options = process.Spec.Replica;
  options.Log.Seed = process.Incarnation;
  process.AnnouncedReplica = process.Disk->Stored.Id;
  process.Replica = std::make_unique<ReplicaNode>(
      Now, options, process.Disk->Stored, *process.Disk, process, *this);
}

void Simulation::closeReplica(SimulatedProcess &process) {
  process.Replica.reset();
  closeAllLinks(process);
  openReplicaLater(process);
}

void Simulation::closeAllLinks(SimulatedProcess &process) {
  std::vector<LinkId> links;
  for (const auto &[link, end] : LinkEnds)
    if (end.Host == process.Spec.Host)
      links.push_back(link);
  for (const LinkId it : links) {
    closeLink(it);
    notifyNodesClosed(process, it);
  }
}

void Simulation::openReplicaLater(SimulatedProcess &process) {
  constexpr Duration RetryDelay = std::chrono::milliseconds(500);
  after(RetryDelay,
        [this, host = process.Spec.Host, incarnation = process.Incarnation] {
          atProcess(host, incarnation, [this](SimulatedProcess &it) {
            ++it.ReplicaIncarnation;
            openReplica(it);
          });
        });
}

} // namespace pimentofront::testkit
