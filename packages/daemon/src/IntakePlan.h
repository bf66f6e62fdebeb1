#ifndef PIMENTOFRONT_DAEMON_INTAKE_PLAN_H
#define PIMENTOFRONT_DAEMON_INTAKE_PLAN_H

#include <cstddef>

namespace pimentofront {

/// Memory of a process whose settings don't name it, in bytes.
constexpr std::size_t DefaultMemoryBytes = std::size_t(256) << 20;

/// \class IntakeOptions
/// \brief What a process may use, and where its callers come.
struct IntakeOptions {
  std::size_t MemoryBytes = DefaultMemoryBytes;
  std::size_t Descriptors = 0;
  /// Callers' requests are forwarded unchanged.
  bool Forwards = false;
  /// Callers use the project's own calls.
  bool ServesCalls = false;
  /// Operators and backend servers call it, since it is a replica or an agent.
  bool ServesOperators = false;
};

/// \class IntakeLimits
/// \brief What others may hold of a process. The rest of its descriptors is for
/// connections to backend servers, links to the system's processes, and files.
struct IntakeLimits {
  /// Connections of callers whose requests are forwarded.
  std::size_t CallerConnections = 0;
  /// Connections to the port for calls, health and metrics.
  std::size_t HttpConnections = 0;
  /// Bytes of requests and responses at that port.
  std::size_t HttpBytes = 0;
  /// Accepted links whose other end hasn't said yet which host it is.
  std::size_t UnidentifiedPeers = 0;
};

IntakeLimits planIntake(const IntakeOptions &options);

} // namespace pimentofront

#endif
