#include "Deployment.h"

#include <filesystem>
#include <fstream>

namespace pimentofront::soak {
namespace {

/// Offsets from the first port; the same on all hosts.
enum Port : std::uint16_t {
  Peers,
  PeersListen,
  Http,
  EntryListen,
  Backend,
  BackendListen
};

std::string replicaIp(int i) { return "127.0.1." + std::to_string(i + 1); }
std::string entryIp(int i) { return "127.0.2." + std::to_string(i + 1); }
std::string engineIp(int i) { return "127.0.3." + std::to_string(i + 1); }
std::string plainIp(int i) { return "127.0.4." + std::to_string(i + 1); }
std::string writerIp(int i) { return "127.0.5." + std::to_string(i + 1); }

std::string text(const HostPort &it) {
  return it.Ip + ":" + std::to_string(it.Port);
}
std::string quoted(const std::string &it) { return "\"" + it + "\""; }

} // namespace

Deployment::Deployment(EventLoop &loop, const DeploymentOptions &options)
    : Loop(loop), Options(options) {
  // Other objects hold pointers to the elements, so the vector must not grow
  // beyond this capacity.
  constexpr std::size_t MaxDaemons = 400;
  Daemons.reserve(MaxDaemons);
  addReplicas();
  addEntries();
  addEngines();
  addPlainServers();
  CommonDaemons = Daemons.size();
  addWriters();
  for (Daemon &it : Daemons)
    if (it.InService)
      it.Process.start();
}

HostPort Deployment::addressOf(const std::string &ip,
                               std::uint16_t offset) const {
  return {ip, static_cast<std::uint16_t>(Options.FirstPort + offset)};
}

std::string Deployment::settingsFile(const std::string &name) const {
  return Options.Folder + "/" + name + ".json";
}

void Deployment::writeSettings(const std::string &name, const std::string &ip,
                               const std::string &parts) const {
  std::string replicas;
  for (int i = 0; i < Options.Replicas; ++i)
    replicas += (i ? ", " : "") + quoted(text(addressOf(replicaIp(i), Peers)));
  std::ofstream file(settingsFile(name));
  file << "{\"host\": " << quoted(name)
       << ", \"zone\": \"z\", \"http\": " << quoted(text(addressOf(ip, Http)))
       << ", \"peers\": " << quoted(text(addressOf(ip, Peers)))
       << ", \"peers_listen\": " << quoted(text(addressOf(ip, PeersListen)))
       << ", \"replicas\": [" << replicas
       << "], \"member_lease_ms\": 4000, \"renew_period_ms\": 1200, "
          "\"stop_notice_ms\": 200, \"grace_s\": 4, "
       << parts << "}\n";
}

Daemon &Deployment::addDaemon(const std::string &name, const std::string &ip,
                              const std::string &parts) {
  writeSettings(name, ip, parts);
  Daemons.push_back(
      {.Name = name,
       .Process = Child({Options.Daemon, "--settings", settingsFile(name)},
                        Options.Folder + "/" + name + ".log"),
       .PeerProxy = std::make_unique<TcpProxy>(Loop, addressOf(ip, Peers),
                                               addressOf(ip, PeersListen))});
  return Daemons.back();
}

std::string Deployment::replicaParts(const std::string &name,
                                     bool bootstrap) const {
  return "\"replica\": {\"folder\": " +
         quoted(Options.Folder + "/" + name + ".data") +
         ", \"heartbeat_ms\": 100, \"election_timeout_ms\": 400, "
         "\"bootstrap\": " +
         (bootstrap ? "true" : "false") + ", \"tolerated_losses\": 1}";
}

void Deployment::addReplicas() {
  for (int i = 0; i < Options.Replicas; ++i) {
    const std::string name = "replica-" + std::to_string(i);
    addDaemon(name, replicaIp(i), replicaParts(name, /*bootstrap=*/true))
        .IsReplica = true;
    ControlAddresses.push_back(addressOf(replicaIp(i), Http));
  }
}

void Deployment::addEntries() {
  for (int i = 0; i < Options.Entries; ++i) {
    const HostPort listen = addressOf(entryIp(i), EntryListen);
    Daemon &it = addDaemon("entry-" + std::to_string(i), entryIp(i),
                           "\"forward\": {\"held_bytes_mb\": 16, \"listen\": " +
                               quoted(text(listen)) + "}");
    EntryListeners.emplace_back(listen, &it);
  }
}

void Deployment::addServer(const std::string &ip, const std::string &service) {
  const std::string instance = "i-" + service + std::to_string(Servers.size());
  Servers.push_back(
      {.Service = service,
       .RegisteredAddress = addressOf(ip, Backend),
       .Fake = std::make_unique<testkit::FakeServer>(
           Loop, addressOf(ip, BackendListen), instance, Runs),
       .RequestProxy = std::make_unique<TcpProxy>(
           Loop, addressOf(ip, Backend), addressOf(ip, BackendListen))});
  // A connection to a process that has ended is refused, not accepted by its
  // proxy.
  Servers.back().Fake->onUpChanged([proxy = Servers.back().RequestProxy.get()](
                                       bool up) { proxy->setRefusing(!up); });
}

void Deployment::addEngines() {
  for (int i = 0; i < Options.Engines; ++i) {
    addServer(engineIp(i), "engines");
    addAgent("agent-" + std::to_string(i), engineIp(i), "engines");
  }
}

void Deployment::addAgent(const std::string &name, const std::string &ip,
                          const std::string &service) {
  addDaemon(
      name, ip,
      "\"agent\": {\"engine\": " + quoted(text(addressOf(ip, BackendListen))) +
          ", \"engine_interface\": \"orders\", \"engine_settle_ms\": "
          "0, \"engine_probe_ms\": 100, \"base_model\": " +
          quoted(service) + ", \"company_share\": 0}")
      .IsAgent = true;
}

void Deployment::addWriters() {
  for (int i = 0; i < Options.Writers + Options.Writers / 2; ++i) {
    addServer(writerIp(i), WriterService);
    addAgent("writer-agent-" + std::to_string(i), writerIp(i), WriterService);
    Server &it = Servers.back();
    it.Agent = &Daemons.back();
    if (i < Options.Writers)
      continue;
    it.Fake->exit();
    it.State = ServerState::Absent;
    it.Agent->InService = false;
  }
}

std::vector<Server *> Deployment::writers() {
  std::vector<Server *> result;
  for (Server &it : Servers)
    if (it.Service == WriterService)
      result.push_back(&it);
  return result;
}

std::vector<TcpProxy *> Deployment::commonProxies() {
  std::vector<TcpProxy *> result;
  for (Daemon &it : commonDaemons())
    result.push_back(it.PeerProxy.get());
  for (Server &it : Servers)
    if (it.Service != WriterService)
      result.push_back(it.RequestProxy.get());
  return result;
}

void Deployment::addPlainServers() {
  for (int i = 0; i < Options.PlainServers; ++i)
    addServer(plainIp(i), "plain");
}

std::vector<TcpProxy *> Deployment::proxies() {
  std::vector<TcpProxy *> result;
  for (Daemon &it : Daemons)
    result.push_back(it.PeerProxy.get());
  for (Server &it : Servers)
    result.push_back(it.RequestProxy.get());
  return result;
}

void Deployment::deleteData(const Daemon &replica) {
  std::filesystem::remove_all(Options.Folder + "/" + replica.Name + ".data");
}

void Deployment::endBootstrap() {
  for (int i = 0; i < Options.Replicas; ++i) {
    const std::string name = "replica-" + std::to_string(i);
    writeSettings(name, replicaIp(i), replicaParts(name, /*bootstrap=*/false));
  }
}

} // namespace pimentofront::soak
