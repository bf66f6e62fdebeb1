#ifndef PIMENTOFRONT_DAEMON_SETTINGS_H
#define PIMENTOFRONT_DAEMON_SETTINGS_H

#include "IntakePlan.h"
#include "pimentofront/Http.h"
#include "pimentofront/Node.h"

namespace pimentofront {

/// A plain service on an agent's host, and the address at which the agent calls
/// it.
struct ServiceAddress {
  ServiceName Name;
  std::string Address;
};

/// \class Settings
/// \brief The daemon's settings; docs/SETTINGS.md is the reference.
struct Settings {
  HostName Host;
  ZoneName Zone;
  /// All availability zones with their regions; empty if they are not known.
  ZoneRegions Zones;
  std::string HttpAddress;
  std::string PeerAddress;
  /// Address on which the process listens for peers. Differs from PeerAddress
  /// behind address translation or a proxy.
  std::string PeerListenAddress;
  std::vector<std::string> Replicas;

  bool IsEntry = false;
  bool IsAgent = false;
  bool IsReplica = false;
  bool IsForward = false;

  /// Path of the log file, or "-" for standard output.
  std::string LogFile = "-";
  std::string LogLevel = "info";

  /// Memory of the process in bytes.
  std::size_t MemoryBytes = DefaultMemoryBytes;
  /// Descriptors that the process may have open; 0 is what the operating system
  /// allows.
  std::size_t MaxDescriptors = 0;
  /// These limits are planned from the memory and the descriptors where they
  /// are 0 (planIntake).
  IntakeLimits Intake;

  EntryNodeOptions Entry;
  AffinityOptions Affinity;
  std::size_t MaxBodyBytes = std::size_t(1) << 20;
  Duration CallerTimeout = std::chrono::seconds(30);
  std::size_t CallerBufferBytes = std::size_t(1) << 20;

  /// Address on which the process accepts requests to be forwarded unchanged.
  std::string ForwardAddress;
  ForwardNodeOptions Forward;
  ResponseLimits Responses;
  PrefixRoutingOptions Prefix;

  AgentNodeOptions Agent;
  std::string EngineAddress;
  /// The agent loads adapters by orders to the engine, and entries send
  /// requests to the engine directly. Otherwise the agent runs requests through
  /// the completions API.
  bool UsesEngineOrders = false;
  Duration EngineProbePeriod = std::chrono::milliseconds(500);
  std::vector<ServiceAddress> Services;
  double LoadsPerSecond = 4;

  ReplicaNodeOptions Replica;
  std::string DataFolder;
  /// Set for the first start of the whole system: the replica with the smallest
  /// address forms the group if its data folder is empty.
  bool Bootstrap = false;

  /// Time between reporting "not ready" and refusing requests, in which the
  /// load balancer stops sending requests to this process.
  Duration StopNotice = std::chrono::milliseconds(500);
  /// Maximum duration of a graceful stop; a longer one is cut short and logged.
  Duration StopLimit = std::chrono::minutes(5);

  /// \returns the limits in force, for a process that may open \p descriptors.
  IntakeLimits intakeFor(std::size_t descriptors) const;

  /// Parses and checks \p text. \p findings gets all faults, not just the
  /// first.
  static Settings parse(const std::string &file, std::string_view text,
                        Findings &findings);
};

} // namespace pimentofront

#endif
