// Stand-ins for the platform on loopback: one model worker, the operator and
// clients. Plays the case of review/3 and judges it by what the worker and the
// operator see. Exit code: 0 the rule held, 1 it was broken, 2 not played.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using Headers = std::map<std::string, std::string>;

namespace {

const Clock::time_point Start = Clock::now();
std::mutex RecordMutex;
std::FILE *RecordFile = nullptr;

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               Start)
      .count();
}

void sleepMs(int n) {
  std::this_thread::sleep_for(std::chrono::milliseconds(n));
}

__attribute__((format(printf, 1, 2))) void record(const char *format, ...) {
  const std::lock_guard lock(RecordMutex);
  std::fprintf(RecordFile, "%8.3f ", static_cast<double>(nowMs()) / 1000);
  va_list args;
  va_start(args, format);
  std::vfprintf(RecordFile, format, args);
  va_end(args);
  std::fputc('\n', RecordFile);
  std::fflush(RecordFile);
}

struct Address {
  std::string Ip;
  int Port = 0;
  std::string text() const { return Ip + ":" + std::to_string(Port); }
};

Address parseAddress(const std::string &text) {
  const std::size_t colon = text.rfind(':');
  return {text.substr(0, colon), std::stoi(text.substr(colon + 1))};
}

sockaddr_in socketAddress(const Address &address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.Port));
  inet_pton(AF_INET, address.Ip.c_str(), &result.sin_addr);
  return result;
}

/// A blocking connection that reads HTTP/1.1 messages.
class Connection {
public:
  explicit Connection(int fd) : Fd(fd) {
    const int on = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { ::close(Fd); }

  static int open(const Address &to) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = socketAddress(to);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address),
                  sizeof(address)) == 0)
      return fd;
    ::close(fd);
    return -1;
  }
  void setTimeout(int ms) const {
    const timeval tv{ms / 1000, (ms % 1000) * 1000};
    setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
  }
  bool write(const std::string &text) const {
    std::size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t n =
          ::send(Fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  bool isClosed() const {
    char c = 0;
    return ::recv(Fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }
  bool readLine(std::string &line) {
    std::size_t end = 0;
    while ((end = Buffer.find("\r\n")) == std::string::npos)
      if (!fill())
        return false;
    line = Buffer.substr(0, end);
    Buffer.erase(0, end + 2);
    return true;
  }
  bool readBytes(std::size_t n, std::string &out) {
    while (Buffer.size() < n)
      if (!fill())
        return false;
    out += Buffer.substr(0, n);
    Buffer.erase(0, n);
    return true;
  }
  /// Reads the first line, the headers (names in lower case) and the body.
  bool readMessage(std::string &first, Headers &headers, std::string &body) {
    headers.clear();
    body.clear();
    std::string line;
    if (!readLine(first))
      return false;
    while (readLine(line) && !line.empty()) {
      const std::size_t colon = line.find(':');
      std::string name = line.substr(0, colon);
      for (char &c : name)
        c = static_cast<char>(std::tolower(c));
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    if (headers.count("transfer-encoding") == 0)
      return headers.count("content-length") == 0 ||
             readBytes(std::stoul(headers["content-length"]), body);
    while (readLine(line)) {
      const std::size_t n = std::stoul(line, nullptr, 16);
      std::string end;
      if (!readBytes(n, body) || !readBytes(2, end))
        return false;
      if (n == 0)
        return true;
    }
    return false;
  }

private:
  bool fill() {
    char bytes[4096];
    const ssize_t n = ::recv(Fd, bytes, sizeof(bytes), 0);
    if (n <= 0)
      return false;
    Buffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  int Fd;
  std::string Buffer;
};

constexpr int TokensPerEvent = 8;

struct Answer {
  int Status = 0;
  bool Complete = false;
  Headers Fields;
  std::string Body;
};

Answer call(const Address &to, const std::string &method,
            const std::string &path, const Headers &headers,
            const std::string &body, int timeoutMs) {
  const int fd = Connection::open(to);
  if (fd < 0)
    return {};
  Connection connection(fd);
  connection.setTimeout(timeoutMs);
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto &[name, value] : headers)
    text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  Answer answer;
  std::string first;
  if (!connection.write(text))
    return answer;
  answer.Complete = connection.readMessage(first, answer.Fields, answer.Body);
  if (first.size() > 12)
    answer.Status = std::stoi(first.substr(9, 3));
  return answer;
}

/// Calls one control node after another, follows redirects twice.
Answer callControl(const std::vector<Address> &nodes, const std::string &method,
                   const std::string &path, const Json &body) {
  Answer answer;
  for (const Address &node : nodes) {
    Address to = node;
    for (int hop = 0; hop < 3; ++hop) {
      answer = call(to, method, path,
                    {{"Host", to.text()}, {"Content-Type", "application/json"}},
                    body.dump(), 1000);
      if (answer.Status != 307)
        break;
      const std::string &location = answer.Fields["location"];
      to = parseAddress(location.substr(7, location.find('/', 7) - 7));
    }
    if (answer.Status >= 200 && answer.Status < 300)
      return answer;
  }
  return answer;
}

/// A model worker with one base model, adapters and streams.
class Worker {
public:
  static constexpr int Slots = 64;
  static constexpr std::size_t AdapterSlots = 8;

  struct Run {
    std::string Id;
    std::string Model;
    std::uint64_t Version = 0;
    std::int64_t BeganMs = 0;
  };

  explicit Worker(Address address) : At(std::move(address)) {
    Born = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
  }

  bool listen() {
    Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = socketAddress(At);
    if (::bind(Listener, reinterpret_cast<const sockaddr *>(&address),
               sizeof(address)) != 0 ||
        ::listen(Listener, 512) != 0)
      return false;
    std::thread([this] {
      while (true) {
        const int fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0)
          std::thread([this, fd] { serve(fd); }).detach();
      }
    }).detach();
    return true;
  }

  Json registration(int sequence) {
    return {
        {"backend", "valuation"}, {"address", At.text()}, {"zone", "z1"},
        {"version", "v1"},        {"slots", Slots},       {"state", "ready"},
        {"coldLeftMs", 0},        {"stage", "both"},      {"models", models()},
        {"seq", sequence},        {"born", Born}};
  }

  std::vector<Run> runs() {
    const std::lock_guard lock(Mutex);
    return Runs;
  }
  bool holds(const std::string &adapter, std::uint64_t version) {
    const std::lock_guard lock(Mutex);
    const auto it = Adapters.find(adapter);
    return it != Adapters.end() && it->second == version;
  }
  void setNewest(const std::string &adapter, std::uint64_t version) {
    const std::lock_guard lock(Mutex);
    Newest[adapter] = version;
  }

  const std::string Id = "i-stand-in";

private:
  Json models() {
    const std::lock_guard lock(Mutex);
    Json adapters = Json::array();
    for (const auto &[name, version] : Adapters)
      adapters.push_back(name + "@" + std::to_string(version));
    return Json::array(
        {{{"name", "m0"}, {"version", 1}, {"adapters", adapters}}});
  }

  void serve(int fd) {
    Connection connection(fd);
    std::string first;
    Headers headers;
    std::string body;
    while (connection.readMessage(first, headers, body)) {
      const std::size_t space = first.find(' ');
      const std::string method = first.substr(0, space);
      const std::string path =
          first.substr(space + 1, first.rfind(' ') - space - 1);
      if (path == "/-/report")
        reply(connection, 200, {}, report().dump());
      else if (path == "/-/order")
        order(connection, headers, Json::parse(body, nullptr, false));
      else if (path == "/healthz")
        reply(connection, 200, {{"Pimentofront-Instance-Id", Id}}, "");
      else
        run(connection, headers);
    }
  }

  static bool reply(const Connection &connection, int status,
                    const Headers &headers, const std::string &body) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : headers)
      text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return connection.write(text + body);
  }

  Json report() {
    const Json list = models();
    const std::lock_guard lock(Mutex);
    return {{"stage", "both"},
            {"models", list},
            {"busy", false},
            {"seq", Sequence},
            {"queued", 0},
            {"running", Running},
            {"kvUsed", 0},
            {"kvTotal", 250000},
            {"handles", 0},
            {"born", Born},
            {"pending", Json::array()}};
  }

  /// Loads take effect at once if no run uses the adapter; a replacement waits
  /// for the runs of the adapter to finish.
  void order(const Connection &connection, Headers &headers,
             const Json &order) {
    if (wrongInstance(headers))
      return void(reply(connection, 421, {}, ""));
    const std::string adapter = order.value("adapter", "");
    const bool load = order.value("operation", "") == "load";
    std::uint64_t version = order.value("version", std::uint64_t(0));
    int status = 202;
    {
      const std::lock_guard lock(Mutex);
      if (version == 0)
        version = std::max<std::uint64_t>(Newest[adapter], 1);
      const bool known = Adapters.count(adapter) > 0;
      if (order.contains("expect") && order["expect"] != Sequence)
        status = 409;
      else if (adapter.empty() ||
               (load && known && Adapters[adapter] == version))
        status = 200;
      else if (load && !known && Adapters.size() >= AdapterSlots)
        status = 400; // The real worker would crash.
      else if (load && known && Using[adapter] > 0)
        Replacement[adapter] = version;
      else if (load)
        Adapters[adapter] = version;
      else
        Adapters.erase(adapter);
      if (status == 202)
        ++Sequence;
    }
    record("order %s answered %d", order.dump().c_str(), status);
    reply(connection, status, {}, "");
  }

  bool wrongInstance(Headers &headers) const {
    const auto it = headers.find("pimentofront-expect-instance");
    return it != headers.end() && it->second != Id;
  }

  void run(const Connection &connection, Headers &headers) {
    const std::string id = headers["pimentofront-attempt-id"];
    const std::string model = headers["pimentofront-model"];
    const std::string adapter = model.substr(model.find('/') + 1);
    const std::string expected = headers["pimentofront-expect-version"];
    std::uint64_t version = 0;
    int refusal = 0;
    {
      const std::lock_guard lock(Mutex);
      const auto it = Adapters.find(adapter);
      if (wrongInstance(headers) || it == Adapters.end() ||
          (!expected.empty() && std::stoull(expected) != it->second))
        refusal = 421;
      else if (Running >= Slots)
        refusal = 503;
      else {
        ++Running;
        ++Using[adapter];
        version = it->second;
        Runs.push_back({id, model, version, nowMs()});
      }
    }
    if (refusal != 0) {
      record("worker turns %s away, %d (model %s, expected version %s)",
             id.c_str(), refusal, model.c_str(), expected.c_str());
      reply(
          connection, refusal,
          {{"Pimentofront-Attempt-Id", id}, {"Pimentofront-Not-Executed", "1"}},
          "");
      return;
    }
    record("worker begins %s on %s version %llu", id.c_str(), model.c_str(),
           static_cast<unsigned long long>(version));
    stream(connection, headers, id, version);
    const std::lock_guard lock(Mutex);
    --Running;
    if (--Using[adapter] == 0 && Replacement.count(adapter) > 0) {
      Adapters[adapter] = Replacement[adapter];
      Replacement.erase(adapter);
    }
  }

  void stream(const Connection &connection, Headers &headers,
              const std::string &id, std::uint64_t version) const {
    const std::string &usage = headers["pimentofront-token-usage"];
    const int events =
        std::stoi(usage.substr(usage.find(',') + 1)) / TokensPerEvent;
    if (!connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
                          "\r\nTransfer-Encoding: chunked\r\n"
                          "Pimentofront-Attempt-Id: " +
                          id + "\r\nPimentofront-Response-Stamp: " + id +
                          "\r\nPimentofront-Weight-Versions: " +
                          std::to_string(version) + "\r\n\r\n"))
      return;
    for (int i = 1; i <= events; ++i) {
      sleepMs(EventMs);
      const std::string event = "id: " + std::to_string(i) + "\ndata: text\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      if (connection.isClosed() || !connection.write(size + event + "\r\n"))
        return record("worker stops %s, its channel is closed", id.c_str());
    }
    connection.write("0\r\n\r\n");
  }

  static constexpr int EventMs = 100;
  Address At;
  std::uint64_t Born = 0;
  int Listener = -1;
  std::mutex Mutex;
  std::map<std::string, std::uint64_t> Adapters;
  std::map<std::string, std::uint64_t> Replacement;
  std::map<std::string, std::uint64_t> Newest;
  std::map<std::string, int> Using;
  std::vector<Run> Runs;
  std::uint64_t Sequence = 0;
  int Running = 0;
};

Json manifest() {
  const auto route = [](const char *name, const char *prefix, int timeoutMs,
                        int targetMs, int priority) {
    return Json{{"name", name},           {"hostname", "test.example"},
                {"pathPrefix", prefix},   {"routeType", "streaming"},
                {"timeoutMs", timeoutMs}, {"targetLatencyMs", targetMs},
                {"priority", priority},   {"backend", "valuation"},
                {"attempts", 1},          {"sticky", true},
                {"resumable", false},     {"gapTargetMs", 500}};
  };
  const Json engine = {{"slots", 64},
                       {"kvCapacity", 250453},
                       {"kvBytes", 327680},
                       {"linkMbps", 1100000.0},
                       {"moves", true},
                       {"backups", true},
                       {"stride", 8},
                       {"cap", 12},
                       {"hostMb", 130000.0},
                       {"diskMb", 390000.0},
                       {"pinMs", 4000.0},
                       {"holdMs", 2000.0},
                       {"handle_s", 5.0},
                       {"weightsMb", 75000.0},
                       {"adapterSlots", 8},
                       {"loadsPerS", 4.2},
                       {"models", Json::array({{{"name", "m0"},
                                                {"weightsMb", 72700.0},
                                                {"loadS", 1.4},
                                                {"adapters", 3000},
                                                {"adapterMb", 40.0},
                                                {"warmS", 0.38},
                                                {"diskS", 0.76}}})}};
  return {{"version", 7},
          {"routes", Json::array({route("roll", "/roll/", 8000, 2000, 2)})},
          {"services", Json::array({{{"name", "valuation"},
                                     {"healthPath", "/healthz"},
                                     {"maxConns", 450},
                                     {"protocol", "h1"},
                                     {"tls", false},
                                     {"engine", engine}}})},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

/// A kind of request: its route, size, and how long a client waits for the next
/// event (the longest of 2 s, four times the objective, eight times the pause).
struct Kind {
  const char *Path;
  int Events;
  int DeadlineMs;
  int PatienceMs;
};
constexpr Kind Roll = {"/roll/x", 26, 8000, 8000};

Answer generate(const Address &front, const Kind &kind, const std::string &id) {
  const std::string tokens = std::to_string(kind.Events * TokensPerEvent);
  record("client: sends %s to %s", id.c_str(), kind.Path);
  const Answer answer =
      call(front, "POST", kind.Path,
           {{"Host", "test.example"},
            {"Pimentofront-Attempt-Id", id},
            {"Pimentofront-Model", "m0/a1"},
            {"Pimentofront-Token-Usage", "60," + tokens},
            {"Pimentofront-Prompt-Prefix", "a1:40,b" + id.substr(1) + ":20"},
            {"Pimentofront-Deadline-Ms", std::to_string(kind.DeadlineMs)}},
           "prompt", kind.PatienceMs);
  record("client: %s answered %d%s%s", id.c_str(), answer.Status,
         answer.Complete ? "" : ", not complete",
         answer.Status == 200 ? "" : (", " + answer.Body).c_str());
  return answer;
}

/// Sends an operator's order until it is acknowledged.
bool order(const std::vector<Address> &control, const std::string &method,
           const std::string &path, const Json &body) {
  for (int i = 0; i < 60; ++i) {
    const Answer answer = callControl(control, method, path, body);
    if (answer.Status == 200)
      return true;
    sleepMs(200);
  }
  return false;
}

struct Deployment {
  std::vector<Address> Control;
  Address Front;
  Address App;
};

/// Sends requests of one kind at a steady rate, which a burst multiplies.
class Load {
public:
  Load(const Address &front, const Kind &kind, char prefix, double perSecond)
      : Front(front), What(kind), Prefix(prefix), PerSecond(perSecond),
        Sender([this] { run(); }) {}
  void setRate(double perSecond) { PerSecond = perSecond; }
  void finish() {
    Ended = true;
    Sender.join();
    for (std::thread &it : Clients)
      it.join();
  }

private:
  void run() {
    auto next = Clock::now();
    for (int i = 0; !Ended; ++i) {
      Clients.emplace_back([this, i] {
        generate(Front, What, Prefix + std::to_string(1000 + i));
      });
      next += std::chrono::microseconds(
          static_cast<std::int64_t>(1e6 / PerSecond));
      std::this_thread::sleep_until(next);
    }
  }
  const Address &Front;
  const Kind &What;
  char Prefix;
  std::atomic<double> PerSecond;
  std::atomic<bool> Ended = false;
  std::vector<std::thread> Clients;
  std::thread Sender;
};

bool putVersion(Worker &worker, const Deployment &at, std::uint64_t version) {
  worker.setNewest("a1", version);
  const bool done =
      order(at.Control, "POST", "/-/version-put",
            {{"model", "m0"}, {"adapter", "a1"}, {"version", version}});
  if (done)
    record("operator: version %llu of m0/a1 is acknowledged",
           static_cast<unsigned long long>(version));
  return done;
}

int play(const Deployment &at, bool trouble) {
  constexpr int VersionMs = 5000;
  // 64 slots and 2.6 s a request: 24.6 requests a second are served.
  constexpr double PerSecond = 20;
  constexpr double BurstFactor = 2.35;
  constexpr int BurstMs = 6900;
  Worker worker(at.App);
  if (!worker.listen())
    return 2;
  std::thread([&worker, &at] {
    for (int i = 1;; ++i, sleepMs(1200))
      callControl(at.Control, "PUT", "/-/instances/" + worker.Id,
                  worker.registration(i));
  }).detach();
  if (!order(at.Control, "PUT", "/-/config", manifest()))
    return 2;
  record("operator: the manifest is acknowledged");
  if (!putVersion(worker, at, 1))
    return 2;
  for (int i = 0; i < 100 && !worker.holds("a1", 1); ++i) {
    generate(at.Front, Roll, "w" + std::to_string(1000 + i));
    sleepMs(200);
  }
  if (!worker.holds("a1", 1))
    return 2;

  Load load(at.Front, Roll, 'r', PerSecond);
  sleepMs(8000); // All are in touch for longer than 3 s; the load is steady.
  if (trouble) {
    record("burst: %.2f times the requests for %d ms", BurstFactor, BurstMs);
    load.setRate(BurstFactor * PerSecond);
  }
  sleepMs(BurstMs);
  load.setRate(PerSecond);
  if (!putVersion(worker, at, 2))
    return 2;
  const std::int64_t acknowledged = nowMs();
  sleepMs(12000);
  load.finish();

  int late = 0;
  int renewed = 0;
  for (const Worker::Run &it : worker.runs()) {
    renewed += it.Version == 2 ? 1 : 0;
    if (it.Version >= 2 || it.BeganMs <= acknowledged + VersionMs)
      continue;
    ++late;
    record("BROKEN: %s began on version %llu, %lld ms after version 2 was "
           "acknowledged (allowed: %d ms)",
           it.Id.c_str(), static_cast<unsigned long long>(it.Version),
           static_cast<long long>(it.BeganMs - acknowledged), VersionMs);
  }
  if (late > 0)
    return 1;
  if (renewed == 0) {
    record("not played: version 2 never served");
    return 2;
  }
  record("the rule held; %d requests ran on version 2", renewed);
  return 0;
}

} // namespace

/// Usage: standin RECORD TROUBLE FRONT APP CONTROL...
int main(int argc, char **argv) {
  if (argc < 6)
    return 2;
  constexpr unsigned LongestSeconds = 100;
  alarm(LongestSeconds); // Ends the process, which counts as not played.
  RecordFile = std::fopen(argv[1], "w");
  if (!RecordFile)
    return 2;
  Deployment at;
  at.Front = parseAddress(argv[3]);
  at.App = parseAddress(argv[4]);
  for (int i = 5; i < argc; ++i)
    at.Control.push_back(parseAddress(argv[i]));
  const int result = play(at, std::string(argv[2]) != "0");
  std::fflush(RecordFile);
  std::_Exit(result); // Threads of connections may still run.
}
