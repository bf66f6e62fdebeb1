#ifndef PIMENTOFRONT_DAEMON_SETTINGS_H
#define PIMENTOFRONT_DAEMON_SETTINGS_H

#include "pimentofront/Node.h"

namespace pimentofront {

/// A plain service beside which an agent runs.
struct ServiceAddress {
  ServiceName Name;
  std::string Address;
};

/// \class Settings
/// \brief All that the daemon is told; docs/SETTINGS.md is the reference.
struct Settings {
  HostName Host;
  ZoneName Zone;
  /// All availability zones with their regions; none: they aren't known.
  ZoneRegions Zones;
  std::string HttpAddress;
  std::string PeerAddress;
  /// Where the process listens, when others reach it by another address: behind
  /// address translation, or a proxy.
  std::string PeerListenAddress;
  std::vector<std::string> Replicas;

  bool IsEntry = false;
  bool IsAgent = false;
  bool IsReplica = false;
  bool IsForward = false;

  /// "-" is standard output.
  std::string LogFile = "-";
  std::string LogLevel = "info";

  EntryNodeOptions Entry;
  AffinityOptions Affinity;
  std::size_t MaxBodyBytes = std::size_t(1) << 20;
  Duration CallerTimeout = std::chrono::seconds(30);
  std::size_t CallerBufferBytes = std::size_t(1) << 20;

  /// Where callers' requests that are passed on as they are come in.
  std::string ForwardAddress;
  ForwardNodeOptions Forward;
  PrefixRoutingOptions Prefix;

  AgentNodeOptions Agent;
  std::string EngineAddress;
  /// The engine takes orders, and entries send it requests themselves.
  bool EngineTakesOrders = false;
  Duration EngineProbePeriod = std::chrono::milliseconds(500);
  std::vector<ServiceAddress> Services;
  double LoadsPerSecond = 4;

  ReplicaNodeOptions Replica;
  std::string DataFolder;
  /// The whole system starts for the first time: the first of the replicas
  /// named forms the group, if its folder is empty.
  bool Bootstrap = false;

  /// Between becoming unready and refusing: the balancer turns away.
  Duration StopNotice = std::chrono::milliseconds(500);
  /// A graceful stop that takes longer is ended, and logged.
  Duration StopLimit = std::chrono::minutes(5);

  /// Reads and checks \p text; all faults are collected in \p findings.
  static Settings parse(const std::string &file, std::string_view text,
                        Findings &findings);
};

} // namespace pimentofront

#endif
