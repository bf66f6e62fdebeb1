// Crowds of clients that don't behave, against the real processes on loopback.
// Each case checks that all processes live, that the memory and the open
// descriptors of the one that the crowd reaches stay under a bound, and that an
// ordinary request is answered beside the crowd and after it has left.

#include "Crowd.h"
#include "System.h"

#include <csignal>
#include <cstdio>
#include <functional>
#include <getopt.h>
#include <map>

using namespace pimentofront;
using namespace pimentofront::crowd;

namespace {

constexpr std::size_t Kibibyte = 1024;
constexpr std::size_t Mebibyte = 1024 * Kibibyte;
/// Memory of the entry's host, which its settings name.
constexpr int HostMemoryMb = 64;
/// Memory of a host whose settings name none: the least that the platform's
/// hosts have.
constexpr int LeastMemoryMb = 112;
/// Body of the ordinary request.
constexpr std::size_t OrdinaryBytes = 64 * Kibibyte;
/// Limits on the waits of the test itself.
constexpr Duration StartLimit = std::chrono::seconds(30);
constexpr Duration CrowdLimit = std::chrono::seconds(12);
constexpr Duration ServedLimit = std::chrono::seconds(40);
constexpr Duration Quiet = std::chrono::seconds(1);

/// A crowd and what must hold beside it.
struct Case {
  Interface Kind = Interface::Forward;
  CrowdPlan Plan;
  /// The crowd connects to the port of the system's other processes.
  bool AtPeers = false;
  int Descriptors = 0;
  /// Bound on the open descriptors; 0 sets none.
  std::size_t MaxDescriptors = 0;
  int IdleTimeoutMs = 15000;
  /// Each client's connection has to be closed by the system.
  bool CrowdMustEnd = false;
};

std::string chunk(std::size_t n) {
  return writeChunkHead(n) + std::string(n, 'c') + "\r\n";
}

std::string chunkedHead(const std::string &path) {
  return System::head(path) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string lengthHead(const std::string &path, std::size_t n) {
  return System::head(path) + "Content-Length: " + std::to_string(n) +
         "\r\n\r\n";
}

std::string ownHead(const std::string &framing) {
  return "POST /pimentofront.v1.Assistant/Generate HTTP/1.1\r\nHost: h\r\n"
         "Content-Type: application/json\r\n" +
         framing + "\r\n\r\n";
}

/// Almost the largest body that is allowed, without its last chunk.
Case unfinishedBodies() {
  return {.Plan = {.Clients = 100,
                   .First = chunkedHead("/safe/ok"),
                   .Repeated = chunk(64 * Kibibyte - 16),
                   .Repetitions = 16}};
}

Case unfinishedSmallChunks() {
  return {.Plan = {.Clients = 100,
                   .First = chunkedHead("/safe/ok"),
                   .Repeated = chunk(1),
                   .Repetitions = 150000}};
}

/// All but the last byte of a body whose length is announced.
Case unfinishedLengths() {
  return {.Plan = {.Clients = 100,
                   .First = lengthHead("/safe/ok", Mebibyte),
                   .Repeated = std::string(Mebibyte - 1, 'l'),
                   .Repetitions = 1}};
}

/// Whole bodies inside all limits, to a server that doesn't answer.
Case wholeBodies() {
  return {.Plan = {.Clients = 100,
                   .First = lengthHead("/once/hang", Mebibyte),
                   .Repeated = std::string(Mebibyte, 'w'),
                   .Repetitions = 1}};
}

Case oversizedBodies() {
  return {.Plan = {.Clients = 100,
                   .First = chunkedHead("/safe/ok"),
                   .Repeated = chunk(512 * Kibibyte),
                   .Repetitions = 16,
                   .Reads = false}};
}

Case announcedOversizedBodies() {
  return {.Plan = {.Clients = 100,
                   .First = lengthHead("/safe/ok", std::size_t(1) << 30),
                   .Repeated = std::string(Mebibyte, 'a'),
                   .Repetitions = 4,
                   .Reads = false}};
}

/// Further requests behind one that is under way, whose answers aren't read.
Case pipelinedRequests() {
  return {.Plan = {.Clients = 30,
                   .First = lengthHead("/once/hang", 0),
                   .Repeated = lengthHead("/safe/ok", 64 * Kibibyte) +
                               std::string(64 * Kibibyte, 'p'),
                   .Repetitions = 128,
                   .Reads = false}};
}

/// Small requests that are answered at once, and whose answers aren't read.
Case unreadSmallAnswers() {
  return {.Plan = {.Clients = 40,
                   .Repeated = lengthHead("/nowhere/ok", 0),
                   .Repetitions = 60000,
                   .Reads = false}};
}

Case unreadAnswers() {
  return {.Plan = {.Clients = 60,
                   .First = lengthHead("/safe/large", 0),
                   .Reads = false}};
}

Case unfinishedHeads() {
  return {.Plan = {.Clients = 800,
                   .First = System::head("/safe/ok") +
                            "Filler: " + std::string(15 * Kibibyte, 'h')}};
}

/// Heads of very many small headers, inside the limit on their bytes.
Case unfinishedSmallHeaders() {
  return {.Plan = {.Clients = 400,
                   .First = System::head("/safe/ok"),
                   .Repeated = "a:b\r\n",
                   .Repetitions = 3200}};
}

Case silentConnections() {
  constexpr int Descriptors = 160;
  return {.Plan = {.Clients = 250},
          .Descriptors = Descriptors,
          .MaxDescriptors = Descriptors - 16,
          .IdleTimeoutMs = 60000};
}

Case silentInHeads() {
  Case it = silentConnections();
  it.Plan.First = System::head("/safe/ok");
  return it;
}

Case ownUnfinishedBodies() {
  return {.Kind = Interface::Own,
          .Plan = {.Clients = 200,
                   .First = ownHead("Transfer-Encoding: chunked"),
                   .Repeated = chunk(64 * Kibibyte - 16),
                   .Repetitions = 16}};
}

Case ownPipelined() {
  return {.Kind = Interface::Own,
          .Plan = {.Clients = 100,
                   .Repeated = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
                   .Repetitions = 40000,
                   .Reads = false}};
}

Case ownEndlessHeads() {
  return {.Kind = Interface::Own,
          .Plan = {.Clients = 100,
                   .First = "GET / HTTP/1.1\r\nHost: h\r\n",
                   .Repeated = "Filler: " + std::string(4096, 'h') + "\r\n",
                   .Repetitions = 500}};
}

Case ownSilentConnections() {
  Case it = silentConnections();
  it.Kind = Interface::Own;
  return it;
}

/// A byte of a body now and then, for ever.
Case ownDrippedBodies() {
  return {.Kind = Interface::Own,
          .Plan = {.Clients = 20,
                   .First = ownHead("Content-Length: 100000"),
                   .Dripped = "d"},
          .CrowdMustEnd = true};
}

/// The same in a head.
Case ownDrippedHeads() {
  return {.Kind = Interface::Own,
          .Plan = {.Clients = 20,
                   .First = "GET / HTTP/1.1\r\nHost: h\r\nFiller: ",
                   .Dripped = "d"},
          .CrowdMustEnd = true};
}

Case peersSilentConnections() {
  Case it = silentConnections();
  it.AtPeers = true;
  return it;
}

/// Frames as large as the protocol allows from whom nobody knows.
Case peersLargeFrames() {
  const std::string upgrade =
      "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: "
      "Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: "
      "AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n";
  // Masked and binary, with a length of 4,000,000 bytes.
  const char frame[] = {'\x82', '\xff', 0, 0,      0,      0,      0,
                        '\x3d', '\x09', 0, '\x01', '\x02', '\x03', '\x04'};
  return {.Plan = {.Clients = 60,
                   .First = upgrade + std::string(frame, sizeof(frame)),
                   .Repeated = std::string(1000000, 'f'),
                   .Repetitions = 3},
          .AtPeers = true};
}

const std::map<std::string, std::function<Case()>> &cases() {
  static const std::map<std::string, std::function<Case()>> All = {
      {"unfinished-bodies", unfinishedBodies},
      {"unfinished-small-chunks", unfinishedSmallChunks},
      {"unfinished-lengths", unfinishedLengths},
      {"whole-bodies", wholeBodies},
      {"oversized-bodies", oversizedBodies},
      {"announced-oversized-bodies", announcedOversizedBodies},
      {"pipelined-requests", pipelinedRequests},
      {"unread-small-answers", unreadSmallAnswers},
      {"unread-answers", unreadAnswers},
      {"unfinished-heads", unfinishedHeads},
      {"unfinished-small-headers", unfinishedSmallHeaders},
      {"silent-connections", silentConnections},
      {"silent-in-heads", silentInHeads},
      {"own-unfinished-bodies", ownUnfinishedBodies},
      {"own-pipelined", ownPipelined},
      {"own-endless-heads", ownEndlessHeads},
      {"own-silent-connections", ownSilentConnections},
      {"own-dripped-bodies", ownDrippedBodies},
      {"own-dripped-heads", ownDrippedHeads},
      {"peers-silent-connections", peersSilentConnections},
      {"peers-large-frames", peersLargeFrames},
  };
  return All;
}

/// \class Checks
/// \brief Prints each check and counts the failed ones.
class Checks {
public:
  Checks(System &system, const Case &what) : Subject(system), What(what) {}

  void check(bool good, const std::string &text) {
    std::printf("%s: %s\n", good ? "ok" : "FAILED", text.c_str());
    Failures += good ? 0 : 1;
  }

  void checkProcesses(const std::string &when) {
    for (Process &it : Subject.daemons())
      check(it.lives(), "a process lives " + when);
    const std::size_t peak = Subject.entry().peakKibibytes();
    const std::size_t bound =
        static_cast<std::size_t>(What.Kind == Interface::Own || What.AtPeers
                                     ? LeastMemoryMb
                                     : HostMemoryMb) *
        Kibibyte;
    check(peak > 0 && peak <= bound,
          when + " its peak of memory is " + std::to_string(peak) +
              " KiB, at most " + std::to_string(bound) + " allowed, now " +
              std::to_string(Subject.entry().residentKibibytes()));
    const std::size_t n = Subject.entry().descriptors();
    if (What.MaxDescriptors > 0)
      check(n <= What.MaxDescriptors,
            when + " it has " + std::to_string(n) + " descriptors, at most " +
                std::to_string(What.MaxDescriptors) + " allowed");
  }

  int failures() const { return Failures; }

private:
  System &Subject;
  const Case &What;
  int Failures = 0;
};

/// Prints how much processor time the entry uses beside a crowd that is quiet.
/// This is no check, since it depends on the machine.
void printProcessor(System &system) {
  const std::size_t before = system.entry().processorMilliseconds();
  system.wait(Quiet, [] { return false; });
  std::printf("%zu ms of processor time in %.0f s beside the crowd\n",
              system.entry().processorMilliseconds() - before,
              toSeconds(Quiet));
}

int play(const SystemOptions &options, Case what) {
  EventLoop loop;
  SystemOptions wanted = options;
  wanted.Kind = what.Kind;
  wanted.MemoryMb = HostMemoryMb;
  wanted.Descriptors = what.Descriptors;
  wanted.IdleTimeoutMs = what.IdleTimeoutMs;
  System system(loop, wanted);
  Checks checks(system, what);
  const bool ready = system.isServed(StartLimit, OrdinaryBytes);
  checks.check(ready, "a request is answered before the crowd comes");
  if (!ready)
    return 1;
  what.Plan.Address =
      what.AtPeers ? system.peerAddress() : system.crowdAddress();
  {
    Crowd crowd(loop, what.Plan);
    system.wait(CrowdLimit, [&] {
      return what.CrowdMustEnd ? crowd.open() == 0
                               : crowd.isQuiet(loop.now(), Quiet);
    });
    std::printf("%d of %d clients are connected\n", crowd.open(),
                what.Plan.Clients);
    if (what.CrowdMustEnd)
      checks.check(crowd.open() == 0, "no client of the crowd is connected");
    checks.checkProcesses("beside the crowd");
    printProcessor(system);
    checks.check(system.isServed(ServedLimit, OrdinaryBytes),
                 "a request is answered beside the crowd");
    checks.checkProcesses("after a request beside the crowd");
  }
  checks.check(system.isServed(ServedLimit, OrdinaryBytes),
               "a request is answered after the crowd has left");
  checks.checkProcesses("after the crowd");
  return checks.failures() == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv) {
  // The crowd writes to connections that the entry has closed.
  std::signal(SIGPIPE, SIG_IGN);
  SystemOptions system;
  std::string name;
  const option options[] = {{"daemon", required_argument, nullptr, 'd'},
                            {"folder", required_argument, nullptr, 'f'},
                            {"port", required_argument, nullptr, 'p'},
                            {"case", required_argument, nullptr, 'c'},
                            {nullptr, 0, nullptr, 0}};
  int c = 0;
  while ((c = getopt_long(argc, argv, "", options, nullptr)) != -1) {
    if (c == 'd')
      system.Daemon = optarg;
    else if (c == 'f')
      system.Folder = optarg;
    else if (c == 'p')
      system.FirstPort = static_cast<std::uint16_t>(std::stoul(optarg));
    else if (c == 'c')
      name = optarg;
    else
      return 2;
  }
  const auto it = cases().find(name);
  if (it == cases().end()) {
    for (const auto &[known, make] : cases())
      std::puts(known.c_str());
    return 2;
  }
  return play(system, it->second());
}
