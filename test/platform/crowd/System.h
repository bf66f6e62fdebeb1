#ifndef PIMENTOFRONT_CROWD_SYSTEM_H
#define PIMENTOFRONT_CROWD_SYSTEM_H

#include "../FakePlatformServers.h"
#include "Process.h"

#include <nlohmann/json.hpp>

namespace pimentofront::crowd {

/// The interface at which a crowd meets the system.
enum class Interface : std::uint8_t {
  /// Requests that an entry forwards unchanged.
  Forward,
  /// The project's own calls, at an entry that is a replica as well.
  Own,
};

/// \class SystemOptions
struct SystemOptions {
  std::string Daemon;
  /// Folder for settings, data folders and logs.
  std::string Folder;
  /// First of five consecutive ports that are free.
  std::uint16_t FirstPort = 0;
  Interface Kind = Interface::Forward;
  /// Memory of the entry's host, in MB.
  int MemoryMb = 0;
  /// Descriptors that the entry may have; 0 leaves the limit as it is.
  int Descriptors = 0;
  /// Idle timeout of the routing document.
  int IdleTimeoutMs = 15000;
};

/// \class System
/// \brief The system under test: a replica, an entry, and a fake backend
/// server, with an operator and one ordinary caller.
class System : public UpstreamHandler {
public:
  System(EventLoop &loop, const SystemOptions &options);

  /// The process that the crowd reaches.
  Process &entry() { return Daemons.back(); }
  std::vector<Process> &daemons() { return Daemons; }
  HostPort crowdAddress() const;
  HostPort peerAddress() const { return address(EntryPeers); }
  /// \returns the head of a request for \p path, without the lines that tell
  /// the length of its body and the end of the head.
  static std::string head(const std::string &path);

  /// Sends an ordinary request until it is answered with success.
  /// \param body its size in bytes.
  /// \returns whether that was so within \p limit.
  bool isServed(Duration limit, std::size_t body);
  /// Runs the event loop until \p done.
  /// \returns whether that was so within \p limit.
  bool wait(Duration limit, const std::function<bool()> &done);

  HeadDecision onHead(const AttemptId &attempt, ResponseHead head) override;
  void onBody(const AttemptId &, std::string_view) override {}
  void onEnd(const AttemptId &attempt, UpstreamEnding ending) override;

private:
  enum Port : std::uint16_t {
    ReplicaHttp,
    ReplicaPeers,
    EntryHttp,
    EntryPeers,
    EntryListen,
    Backend
  };
  HostPort address(Port port) const {
    return {"127.0.0.1", static_cast<std::uint16_t>(Options.FirstPort + port)};
  }
  void start(const std::string &name, Port http, Port peers,
             const std::string &parts, int descriptors);
  void configure();
  /// Sends an ordinary request on a new connection.
  void send(std::size_t body);

  EventLoop &Loop;
  SystemOptions Options;
  std::vector<Process> Daemons;
  HttpClient Client;
  std::map<std::string, int> Runs;
  std::unique_ptr<testkit::FakeServer> Server;
  std::unique_ptr<Timer> Configurer;
  /// The ordinary caller's connection, new for each request.
  std::unique_ptr<UpstreamPool> Caller;
  std::uint64_t Sequence = 0;
  std::uint64_t Sent = 0;
  /// Status of the answer to the last request, if its head has arrived.
  int Status = 0;
  /// The last request has ended.
  bool Ended = true;
  bool Served = false;
};

} // namespace pimentofront::crowd

#endif
