#ifndef PIMENTOFRONT_SOAK_DEPLOYMENT_H
#define PIMENTOFRONT_SOAK_DEPLOYMENT_H

#include "../FakePlatformServers.h"
#include "Child.h"
#include "TcpProxy.h"

#include <span>

namespace pimentofront::soak {

/// \class DeploymentOptions
/// \brief Size of a deployment; at most 400 daemons.
struct DeploymentOptions {
  std::string Daemon;
  /// Folder for settings, data folders and logs.
  std::string Folder;
  /// First of ten consecutive ports that are free on all loopback addresses.
  std::uint16_t FirstPort = 0;
  int Replicas = 3;
  int Entries = 2;
  /// Number of engines, each with an agent on its host.
  int Engines = 2;
  int PlainServers = 2;
  /// Number of servers of long streams at the start, each with an agent on its
  /// host. Half as many join during the run.
  int Writers = 4;
};

/// Software versions of the servers of long streams: of those at the start, and
/// of those that join.
constexpr const char *FirstVersion = "v1";
constexpr const char *SecondVersion = "v1.1";
/// Service of the servers of long streams.
constexpr const char *WriterService = "writers";

/// A daemon with the proxy through which other processes reach it.
struct Daemon {
  std::string Name;
  Child Process;
  std::unique_ptr<TcpProxy> PeerProxy;
  bool IsReplica = false;
  bool IsAgent = false;
  /// Whether its host is in service: else it isn't started.
  bool InService = true;
};

/// How a backend server registers.
enum class ServerState : std::uint8_t { Absent, Ready, Draining };

/// A backend server with the proxy through which entries reach it.
struct Server {
  std::string Service;
  HostPort RegisteredAddress;
  std::unique_ptr<testkit::FakeServer> Fake;
  std::unique_ptr<TcpProxy> RequestProxy;
  ServerState State = ServerState::Ready;
  /// The agent on its host, if it has one.
  Daemon *Agent = nullptr;

  /// \returns the id of the next process at its address.
  std::string nextInstance() const {
    return Fake->instance() + "-" + std::to_string(Fake->crashes() + 1);
  }
};

/// \class Deployment
/// \brief The processes of the system on loopback, with one address per host, a
/// proxy in front of each daemon and each backend server, and fake backend
/// servers.
class Deployment {
public:
  Deployment(EventLoop &loop, const DeploymentOptions &options);

  std::vector<Daemon> &daemons() { return Daemons; }
  std::vector<Server> &servers() { return Servers; }
  /// \returns the daemons without the agents of the servers of long streams,
  /// whose faults have a plan of their own.
  std::span<Daemon> commonDaemons() { return {Daemons.data(), CommonDaemons}; }
  /// \returns the proxies of the daemons and servers on the same hosts.
  std::vector<TcpProxy *> commonProxies();
  /// \returns the servers of long streams.
  std::vector<Server *> writers();
  std::vector<TcpProxy *> proxies();
  /// \returns the addresses that the operator and the backend servers call.
  const std::vector<HostPort> &controlAddresses() const {
    return ControlAddresses;
  }
  /// \returns the addresses that callers connect to, with their daemons.
  const std::vector<std::pair<HostPort, Daemon *>> &entryListeners() const {
    return EntryListeners;
  }
  /// \returns how often each request ran, on all backend servers together.
  const std::map<std::string, int> &runs() const { return Runs; }
  /// Deletes the data folder of a replica that doesn't run.
  void deleteData(const Daemon &replica);
  /// Disables bootstrap in the replicas' settings: a replica that starts with
  /// an empty disk joins the group from now on.
  void endBootstrap();

private:
  void addReplicas();
  void addEntries();
  void addEngines();
  void addPlainServers();
  void addWriters();
  void addAgent(const std::string &name, const std::string &ip,
                const std::string &service);
  void addServer(const std::string &ip, const std::string &service);
  Daemon &addDaemon(const std::string &name, const std::string &ip,
                    const std::string &parts);
  std::string settingsFile(const std::string &name) const;
  std::string replicaParts(const std::string &name, bool bootstrap) const;
  void writeSettings(const std::string &name, const std::string &ip,
                     const std::string &parts) const;
  HostPort addressOf(const std::string &ip, std::uint16_t offset) const;

  EventLoop &Loop;
  DeploymentOptions Options;
  std::vector<Daemon> Daemons;
  std::vector<Server> Servers;
  std::size_t CommonDaemons = 0;
  std::vector<HostPort> ControlAddresses;
  std::vector<std::pair<HostPort, Daemon *>> EntryListeners;
  std::map<std::string, int> Runs;
};

} // namespace pimentofront::soak

#endif
