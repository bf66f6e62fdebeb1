#ifndef PIMENTOFRONT_SOAK_DEPLOYMENT_H
#define PIMENTOFRONT_SOAK_DEPLOYMENT_H

#include "../FakePlatformServers.h"
#include "Child.h"
#include "TcpProxy.h"

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
};

/// A daemon with the proxy through which other processes reach it.
struct Daemon {
  std::string Name;
  Child Process;
  std::unique_ptr<TcpProxy> PeerProxy;
  bool IsReplica = false;
};

/// A backend server with the proxy through which entries reach it.
struct Server {
  std::string Service;
  HostPort RegisteredAddress;
  std::unique_ptr<testkit::FakeServer> Fake;
  std::unique_ptr<TcpProxy> RequestProxy;
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
  std::vector<HostPort> ControlAddresses;
  std::vector<std::pair<HostPort, Daemon *>> EntryListeners;
  std::map<std::string, int> Runs;
};

} // namespace pimentofront::soak

#endif
