//===- standin-2.cc - Stand-ins for the review's scripts --------*- C++ -*-===//
///
/// A worker, a client and an operator that speak the platform's protocol over
/// HTTP/1.1, for one process each:
///
///   standin-2 worker --listen IP:PORT --control IP:PORT[,...] --id ID
///       --backend NAME --zone ZONE --slots N [--born MS] [--beat-ms N]
///       [--first-beat-ms N] --record FILE
///   standin-2 engine  the same as worker, and: --model NAME --places N
///       [--empty 1] [--load-ms N]
///   standin-2 proxy --listen IP:PORT --to IP:PORT --record FILE
///       [--hold-expect N --hold-ms N]
///   standin-2 links --map LISTEN=TO=NAME[,...] --commands FILE --record FILE
///   standin-2 client --to IP:PORT --host NAME --path PATH [--method M]
///       --id ID --deadline-ms N [--header 'NAME: VALUE']... --record FILE
///   standin-2 operator --to IP:PORT[,...] --method M --path PATH
///       [--body FILE] --record FILE [--tries N] [--redirects N]
///   standin-2 goodbye --id ID --to IP:PORT[,...] --kill IP=PID[,...]
///       --record FILE
///       deregisters a worker, and kills the process of the machine that has
///       acknowledged that
///   standin-2 port          prints a port that is free on all addresses
///
/// A worker does what the header `Case` of a request says, which entries pass
/// on like any other header they don't know:
///   (none)                  a whole answer with a length
///   work MS                 the same after MS
///   unframed WORK PAUSE     after WORK ms, an answer without a length in two
///                           parts, PAUSE ms apart; its end is the end of its
///                           connection
///   slow EVENTS PAUSE       an engine's stream of so many events, PAUSE ms
///   apart
///
/// An engine is a model worker that doesn't check generation numbers. It ends,
/// as a crash, when it is ordered to load more adapters than it has places. A
/// proxy passes requests on, one connection each; it holds back the
/// first order to load with the count named, for --hold-ms, and doesn't answer
/// it. Links are the connections between the system's own processes: each goes
/// to the process NAME through a LISTEN address. Lines that are added to the
/// file of commands partition one of the machines of the core from the others
/// in silence
/// ("cut NAME", "heal NAME"), and reset all links that a process has opened
/// ("reset NAME").
///
//===----------------------------------------------------------------------===//

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Options {
  std::map<std::string, std::string> Values;
  std::vector<std::string> ExtraHeaders;

  std::string text(const std::string &name,
                   const std::string &other = "") const {
    const auto it = Values.find(name);
    return it == Values.end() ? other : it->second;
  }
  long number(const std::string &name, long other = 0) const {
    const auto it = Values.find(name);
    return it == Values.end() ? other : std::atol(it->second.c_str());
  }
};

struct Message {
  std::string First; ///< Request or status line.
  Headers Fields;
  std::string Body;
  bool Complete = false;

  std::string field(const std::string &name) const {
    for (const auto &[key, value] : Fields)
      if (strcasecmp(key.c_str(), name.c_str()) == 0)
        return value;
    return "";
  }
  int status() const {
    return First.size() > 9 ? std::atoi(First.c_str() + 9) : 0;
  }
};

long milliseconds() {
  using namespace std::chrono;
  return static_cast<long>(duration_cast<std::chrono::milliseconds>(
                               system_clock::now().time_since_epoch())
                               .count());
}

void sleepFor(long ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Appends one line with the time and the process to the record. Lines are
/// written by one call each, so that those of several processes don't mix.
void record(const std::string &file, const std::string &line) {
  static std::mutex lock;
  const std::lock_guard<std::mutex> guard(lock);
  FILE *out = std::fopen(file.c_str(), "a");
  if (!out)
    return;
  const std::string text = std::to_string(milliseconds()) + " " + line + "\n";
  std::fwrite(text.data(), 1, text.size(), out);
  std::fclose(out);
}

sockaddr_in addressOf(const std::string &text) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const std::size_t colon = text.rfind(':');
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(
      static_cast<std::uint16_t>(std::atoi(text.substr(colon + 1).c_str())));
  return address;
}

int listenOn(const std::string &text) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = addressOf(text);
  if (::bind(listener, reinterpret_cast<const sockaddr *>(&address),
             sizeof(address)) == 0 &&
      ::listen(listener, 1024) == 0)
    return listener;
  std::perror("listen");
  ::close(listener);
  return -1;
}

int connectTo(const std::string &text, long timeoutMs) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval tv{timeoutMs / 1000, (timeoutMs % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in to = addressOf(text);
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) == 0)
    return fd;
  ::close(fd);
  return -1;
}

bool sendAll(int fd, const std::string &bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t n =
        ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    at += static_cast<std::size_t>(n);
  }
  return true;
}

/// Reads one message; what follows it stays in \p buffer.
/// \returns nothing if no byte of it arrived.
std::optional<Message> readMessage(int fd, std::string &buffer) {
  const auto more = [&] {
    char buf[16384];
    const ssize_t n = ::recv(fd, buf, sizeof(buf), 0);
    if (n <= 0)
      return false;
    buffer.append(buf, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
    if (!more())
      return std::nullopt;
  Message message;
  std::istringstream lines(buffer.substr(0, end));
  buffer.erase(0, end + 4);
  std::string line;
  std::getline(lines, message.First);
  while (!message.First.empty() && message.First.back() == '\r')
    message.First.pop_back();
  while (std::getline(lines, line)) {
    while (!line.empty() && line.back() == '\r')
      line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ')
      ++value;
    message.Fields.emplace_back(line.substr(0, colon), line.substr(value));
  }
  if (message.field("Transfer-Encoding") == "chunked") {
    while (true) {
      std::size_t eol = 0;
      while ((eol = buffer.find("\r\n")) == std::string::npos)
        if (!more())
          return message;
      const std::size_t n =
          std::strtoul(buffer.substr(0, eol).c_str(), nullptr, 16);
      while (buffer.size() < eol + 2 + n + 2)
        if (!more()) {
          message.Body += buffer.substr(eol + 2, n);
          return message;
        }
      message.Body += buffer.substr(eol + 2, n);
      buffer.erase(0, eol + 2 + n + 2);
      if (n == 0)
        break;
    }
    message.Complete = true;
    return message;
  }
  const std::string length = message.field("Content-Length");
  const bool response = message.First.rfind("HTTP/", 0) == 0;
  if (length.empty() && response) {
    while (more()) {
    }
    message.Body = std::exchange(buffer, std::string());
    message.Complete = true;
    return message;
  }
  const std::size_t n = std::strtoul(length.c_str(), nullptr, 10);
  while (buffer.size() < n)
    if (!more()) {
      message.Body = std::exchange(buffer, std::string());
      return message;
    }
  message.Body = buffer.substr(0, n);
  buffer.erase(0, n);
  message.Complete = true;
  return message;
}

std::vector<std::string> listOf(const std::string &text) {
  std::vector<std::string> result;
  std::istringstream in(text);
  std::string it;
  while (std::getline(in, it, ','))
    result.push_back(it);
  return result;
}

/// Set by SIGUSR1: a worker that leaves sends no more heartbeats.
volatile std::sig_atomic_t Leaving = 0;

/// Calls one of \p addresses and follows up to \p redirects redirects.
/// \param by is set to the address that answered.
/// \returns no message if none answered.
std::optional<Message> call(const std::vector<std::string> &addresses,
                            std::size_t first, const std::string &method,
                            const std::string &path, const std::string &body,
                            std::string *by = nullptr, int redirects = 2) {
  std::string address = addresses[first % addresses.size()];
  for (; redirects >= 0; --redirects) {
    const int fd = connectTo(address, 1000);
    if (fd < 0)
      return std::nullopt;
    sendAll(fd, method + " " + path + " HTTP/1.1\r\nHost: " + address +
                    "\r\nContent-Type: application/json\r\nConnection: close" +
                    "\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body);
    std::string buffer;
    std::optional<Message> answer = readMessage(fd, buffer);
    ::close(fd);
    if (by)
      *by = address;
    if (!answer || answer->status() != 307)
      return answer;
    std::string location = answer->field("Location");
    location = location.substr(location.find("//") + 2);
    address = location.substr(0, location.find('/'));
  }
  return std::nullopt;
}

//===----------------------------------------------------------------------===//
// Worker
//===----------------------------------------------------------------------===//

class Worker {
public:
  explicit Worker(const Options &options)
      : Given(options), File(options.text("record")), Id(options.text("id")) {}
  virtual ~Worker() = default;

  int run() {
    const int listener = listenOn(Given.text("listen"));
    if (listener < 0)
      return 2;
    record(File, "worker " + Id + " starts");
    std::thread([this] { beat(); }).detach();
    while (true) {
      const int fd = ::accept(listener, nullptr, nullptr);
      if (fd < 0)
        continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }

protected:
  virtual std::string description() const { return ""; }

  void beat() {
    const std::vector<std::string> control = listOf(Given.text("control"));
    sleepFor(Given.number("first-beat-ms", 0));
    const std::string born = Given.text("born");
    std::size_t next = 0;
    for (long seq = 1; !Leaving; ++seq) {
      const std::string body =
          R"({"backend":")" + Given.text("backend") + R"(","address":")" +
          Given.text("listen") + R"(","zone":")" + Given.text("zone") +
          R"(","version":"v1","slots":)" + Given.text("slots") +
          R"(,"state":"ready","coldLeftMs":0,"seq":)" + std::to_string(seq) +
          description() + (born.empty() ? "" : R"(,"born":)" + born) + "}";
      bool acknowledged = false;
      for (std::size_t i = 0; i < control.size() && !acknowledged; ++i) {
        const auto answer =
            call(control, next, "PUT", "/-/instances/" + Id, body);
        acknowledged = answer && answer->status() / 100 == 2;
        if (!acknowledged)
          ++next;
      }
      if (acknowledged && seq == 1)
        record(File, "worker " + Id + " is registered");
      sleepFor(Given.number("beat-ms", 1200));
    }
  }

  std::string headOf(const Message &request, int status) const {
    const std::string id = request.field("Pimentofront-Attempt-Id");
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nPimentofront-Instance-Id: " + Id +
           "\r\nPimentofront-Server-Load: 1,0," + Given.text("slots") +
           "\r\nPimentofront-Response-Stamp: " + Id + "." + id +
           (id.empty() ? "" : "\r\nPimentofront-Attempt-Id: " + id) + "\r\n";
  }

  void serve(int fd) {
    std::string buffer;
    while (const auto request = readMessage(fd, buffer))
      if (!request->Complete || !answer(fd, *request))
        break;
    ::close(fd);
  }

  /// \returns whether the connection is kept.
  virtual bool answer(int fd, const Message &request) {
    const std::string id = request.field("Pimentofront-Attempt-Id");
    const std::string meant = request.field("Pimentofront-Expect-Instance");
    if (!meant.empty() && meant != Id) {
      record(File, "worker " + Id + " rejects " + id + ", meant for " + meant);
      return sendAll(fd, headOf(request, 421) +
                             "Pimentofront-Not-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n");
    }
    if (request.First.rfind("GET /healthz", 0) == 0)
      return sendAll(fd, headOf(request, 200) + "Content-Length: 0\r\n\r\n");
    if (id.empty())
      return sendAll(fd, headOf(request, 400) +
                             "Pimentofront-Not-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n");
    record(File, "worker " + Id + " runs " + id + ": " + request.First);
    const std::string half(400, 'a');
    const std::string rest = std::string(399, 'b') + "\n";
    std::istringstream instruction(request.field("Case"));
    std::string kind;
    long work = 0;
    long pause = 0;
    instruction >> kind >> work >> pause;
    if (kind == "work")
      sleepFor(work);
    if (kind == "unframed") {
      sleepFor(work);
      sendAll(fd, headOf(request, 200) + "Connection: close\r\n\r\n" + half);
      record(File, "worker " + Id +
                       " has sent 400 of 800 bytes of the answer " + "to " +
                       id);
      sleepFor(pause);
      sendAll(fd, rest);
      record(File, "worker " + Id + " has sent the whole answer to " + id);
      return false;
    }
    const bool sent = sendAll(
        fd, headOf(request, 200) + "Content-Length: 800\r\n\r\n" + half + rest);
    record(File, "worker " + Id + " has sent the whole answer to " + id);
    return sent;
  }

  bool sendText(int fd, const Message &request, int status,
                const std::string &body) const {
    return sendAll(fd, headOf(request, status) + "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  const Options &Given;
  std::string File;
  std::string Id;
};

//===----------------------------------------------------------------------===//
// Engine
//===----------------------------------------------------------------------===//

/// \returns the value of a field of a flat JSON object, without quotes.
std::string jsonField(const std::string &json, const std::string &name) {
  std::size_t at = json.find('"' + name + '"');
  if (at == std::string::npos)
    return "";
  at = json.find(':', at) + 1;
  const bool quoted = json[at] == '"';
  const std::size_t begin = quoted ? at + 1 : at;
  return json.substr(begin,
                     json.find_first_of(quoted ? "\"" : ",}", begin) - begin);
}

class Engine : public Worker {
public:
  explicit Engine(const Options &options)
      : Worker(options), Model(options.text("model")),
        Places(static_cast<std::size_t>(options.number("places", 8))),
        HasModel(options.number("empty") == 0) {}

protected:
  std::string models() const {
    if (!HasModel)
      return "[]";
    std::string names;
    for (const std::string &it : Held)
      names += (names.empty() ? "\"" : ",\"") + it + "@1\"";
    return R"([{"name":")" + Model + R"(","version":1,"adapters":[)" + names +
           "]}]";
  }

  std::string description() const override {
    const std::lock_guard<std::mutex> guard(Lock);
    return R"(,"stage":"both","models":)" + models();
  }

  std::string report() const {
    const std::lock_guard<std::mutex> guard(Lock);
    std::string pending;
    for (const std::string &it : Loading)
      pending += (pending.empty() ? "\"" : ",\"") + Model + "/" + it + "@1\"";
    return R"({"stage":"both","models":)" + models() + R"(,"busy":)" +
           (Busy ? "true" : "false") + R"(,"seq":)" + std::to_string(Orders) +
           R"(,"queued":0,"running":0,"kvUsed":0,"kvTotal":232000,"handles":0)" +
           R"(,"pending":[)" + pending + R"(],"born":)" + Given.text("born") +
           "}";
  }

  bool answer(int fd, const Message &request) override {
    const std::string meant = request.field("Pimentofront-Expect-Instance");
    const bool rejected = !meant.empty() && meant != Id;
    if (!rejected && request.First.rfind("GET /-/report", 0) == 0)
      return sendText(fd, request, 200, report());
    if (!rejected && request.First.rfind("POST /-/order", 0) == 0)
      return sendText(fd, request, order(request.Body), "{}");
    if (rejected || request.First.rfind("POST /gen/", 0) != 0)
      return Worker::answer(fd, request);
    return generate(fd, request);
  }

  bool generate(int fd, const Message &request) {
    const std::string id = request.field("Pimentofront-Attempt-Id");
    const std::string model = request.field("Pimentofront-Model");
    const std::size_t slash = model.find('/');
    {
      const std::lock_guard<std::mutex> guard(Lock);
      if (!HasModel || (slash != std::string::npos &&
                        Held.count(model.substr(slash + 1)) == 0))
        return sendAll(fd, headOf(request, 421) +
                               "Pimentofront-Not-Executed: 1\r\n"
                               "Content-Length: 0\r\n\r\n");
    }
    record(File, "worker " + Id + " runs " + id + " of " + model);
    std::istringstream instruction(request.field("Case"));
    std::string kind = "slow";
    long events = 3;
    long pause = 10;
    instruction >> kind >> events >> pause;
    sendAll(fd, headOf(request, 200) + "Content-Type: text/event-stream\r\n" +
                    "Pimentofront-Weight-Versions: 1\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
    for (long i = 1; i <= events; ++i) {
      const std::string event =
          "id: " + std::to_string(i) + "\ndata: " + model + "\n\n";
      char size[32];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      if (!sendAll(fd, size + event + "\r\n"))
        return false;
      sleepFor(pause);
    }
    record(File, "worker " + Id + " has sent the whole answer to " + id);
    return sendAll(fd, "0\r\n\r\n");
  }

  /// Carries out an order. \returns the status of its answer.
  int order(const std::string &body) {
    const std::lock_guard<std::mutex> guard(Lock);
    const std::string operation = jsonField(body, "operation");
    const std::string adapter = jsonField(body, "adapter");
    const std::string expect = jsonField(body, "expect");
    const std::string what = operation + " " +
                             (adapter.empty() ? Model : adapter) + ", expect " +
                             expect + ", fence " + jsonField(body, "fence");
    const auto says = [&](int status) {
      record(File, "worker " + Id + ", " + std::to_string(Orders) +
                       " orders accepted, " + std::to_string(Held.size()) +
                       " adapters: " + what + ": " + std::to_string(status));
      return status;
    };
    if (Busy || (!expect.empty() && expect != std::to_string(Orders)))
      return says(409);
    const bool load = operation == "load";
    if (adapter.empty()
            ? load == HasModel
            : load == (Held.count(adapter) + Loading.count(adapter) > 0))
      return says(200);
    ++Orders;
    if (adapter.empty()) {
      Busy = true;
      later([this, load] {
        Busy = false;
        HasModel = load;
      });
      return says(202);
    }
    if (!load) {
      Held.erase(adapter);
      return says(200);
    }
    if (Held.size() + Loading.size() + 1 > Places) {
      says(202);
      record(File, "LIMIT: worker " + Id + " was ordered to load adapter " +
                       std::to_string(Held.size() + Loading.size() + 1) +
                       " into " + std::to_string(Places) +
                       " places, and crashes");
      std::_Exit(1);
    }
    Loading.insert(adapter);
    later([this, adapter] {
      Loading.erase(adapter);
      Held.insert(adapter);
    });
    return says(202);
  }

  void later(std::function<void()> action) {
    std::thread([this, action = std::move(action)] {
      sleepFor(Given.number("load-ms", 250));
      const std::lock_guard<std::mutex> guard(Lock);
      action();
    }).detach();
  }

  mutable std::mutex Lock;
  std::string Model;
  std::size_t Places;
  bool HasModel;
  /// An order about the model itself is in progress.
  bool Busy = false;
  unsigned long Orders = 0;
  std::set<std::string> Held;
  std::set<std::string> Loading;
};

//===----------------------------------------------------------------------===//
// Proxy
//===----------------------------------------------------------------------===//

class Proxy {
public:
  explicit Proxy(const Options &options)
      : Given(options), File(options.text("record")) {}

  int run() {
    const int listener = listenOn(Given.text("listen"));
    if (listener < 0)
      return 2;
    while (true) {
      const int fd = ::accept(listener, nullptr, nullptr);
      if (fd >= 0)
        std::thread([this, fd] { serve(fd); }).detach();
    }
  }

private:
  static std::string textOf(const Message &request) {
    std::string text = request.First + "\r\n";
    for (const auto &[name, value] : request.Fields)
      if (strcasecmp(name.c_str(), "connection") != 0)
        text += name + ": " + value + "\r\n";
    return text + "Connection: close\r\n\r\n" + request.Body;
  }

  std::optional<Message> pass(const Message &request) {
    const int fd = connectTo(Given.text("to"), 1000);
    if (fd < 0)
      return std::nullopt;
    sendAll(fd, textOf(request));
    std::string buffer;
    auto answer = readMessage(fd, buffer);
    ::close(fd);
    return answer;
  }

  bool mustHold(const Message &request) {
    const std::string expect = Given.text("hold-expect");
    return !expect.empty() && jsonField(request.Body, "expect") == expect &&
           jsonField(request.Body, "operation") == "load" &&
           !Held.exchange(true);
  }

  void serve(int fd) {
    std::string buffer;
    while (const auto request = readMessage(fd, buffer)) {
      if (mustHold(*request)) {
        record(File, "the order is held up on its way: " + request->Body);
        std::thread([this, it = *request] {
          sleepFor(Given.number("hold-ms"));
          record(File, "the order that was held up arrives");
          pass(it);
        }).detach();
        continue; // Its sender waits for an answer in vain.
      }
      const auto answer = pass(*request);
      if (!answer)
        break;
      std::string text = answer->First + "\r\n";
      for (const auto &[name, value] : answer->Fields)
        text += name + ": " + value + "\r\n";
      if (!sendAll(fd, text + "\r\n" + answer->Body))
        break;
    }
    ::close(fd);
  }

  const Options &Given;
  std::string File;
  std::atomic<bool> Held{false};
};

//===----------------------------------------------------------------------===//
// Links
//===----------------------------------------------------------------------===//

class Links {
public:
  explicit Links(const Options &options)
      : Given(options), File(options.text("record")) {}

  int run() {
    for (const std::string &it : listOf(Given.text("map"))) {
      const std::size_t first = it.find('=');
      const std::size_t second = it.find('=', first + 1);
      const int listener = listenOn(it.substr(0, first));
      if (listener < 0)
        return 2;
      const std::string to = it.substr(first + 1, second - first - 1);
      const std::string name = it.substr(second + 1);
      std::thread([this, listener, to, name] {
        while (true) {
          const int fd = ::accept(listener, nullptr, nullptr);
          if (fd >= 0)
            open(fd, to, name);
        }
      }).detach();
    }
    obey();
    return 0;
  }

private:
  struct Link {
    int Here = -1;
    int There = -1;
    std::string To;
    std::string From; ///< Known once its first frame has passed.
    std::string Sent; ///< What its opener has sent, until then.
    bool Closed = false;
  };
  using LinkPointer = std::shared_ptr<Link>;

  void open(int fd, const std::string &to, const std::string &name) {
    const int there = connectTo(to, 1000);
    if (there < 0) {
      ::close(fd);
      return;
    }
    for (const int it : {fd, there}) {
      const timeval never{};
      setsockopt(it, SOL_SOCKET, SO_RCVTIMEO, &never, sizeof(never));
      const int on = 1;
      setsockopt(it, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    auto link = std::make_shared<Link>();
    link->Here = fd;
    link->There = there;
    link->To = name;
    {
      const std::lock_guard<std::mutex> guard(Lock);
      All.push_back(link);
    }
    std::thread([this, link] { pump(link, link->Here, link->There); }).detach();
    std::thread([this, link] { pump(link, link->There, link->Here); }).detach();
  }

  void pump(const LinkPointer &link, int from, int to) {
    char buf[65536];
    while (true) {
      const ssize_t n = ::recv(from, buf, sizeof(buf), 0);
      if (n > 0 && from == link->Here)
        identify(*link, {buf, static_cast<std::size_t>(n)});
      while (isSilent(*link))
        sleepFor(2);
      if (n <= 0 || !sendAll(to, {buf, static_cast<std::size_t>(n)}))
        break;
    }
    // The other direction ends, too; the descriptors are closed after both.
    ::shutdown(from, SHUT_RDWR);
    ::shutdown(to, SHUT_RDWR);
    const std::lock_guard<std::mutex> guard(Lock);
    if (!std::exchange(link->Closed, true))
      return;
    ::close(link->Here);
    ::close(link->There);
    std::erase(All, link);
  }

  /// Finds the opener's name in its first frame, which is masked.
  void identify(Link &link, const std::string &bytes) {
    const std::lock_guard<std::mutex> guard(Lock);
    if (!link.From.empty())
      return;
    link.Sent += bytes;
    const std::size_t head = link.Sent.find("\r\n\r\n");
    if (head == std::string::npos || link.Sent.size() < head + 4 + 6)
      return;
    const std::string frame = link.Sent.substr(head + 4);
    const std::size_t n = static_cast<unsigned char>(frame[1]) & 0x7f;
    if (n > 125 || frame.size() < 6 + n)
      return;
    std::string text;
    for (std::size_t i = 0; i < n; ++i)
      text += static_cast<char>(frame[6 + i] ^ frame[2 + i % 4]);
    for (const char *it : {"core-", "edge-", "side-"})
      if (const std::size_t at = text.find(it); at != std::string::npos)
        link.From = text.substr(at, 6);
    record(File, "links: " + link.From + " connects to " + link.To);
  }

  bool isSilent(const Link &link) {
    const std::lock_guard<std::mutex> guard(Lock);
    return link.From.rfind("core-", 0) == 0 &&
           (Cut.count(link.From) > 0 || Cut.count(link.To) > 0);
  }

  void obey() {
    std::size_t done = 0;
    while (true) {
      sleepFor(5);
      std::ifstream in(Given.text("commands"));
      std::string line;
      for (std::size_t i = 0; std::getline(in, line); ++i)
        if (i >= done) {
          ++done;
          carryOut(line);
        }
    }
  }

  void carryOut(const std::string &line) {
    const std::lock_guard<std::mutex> guard(Lock);
    const std::string name = line.substr(line.find(' ') + 1);
    record(File, "links: " + line);
    if (line.rfind("cut ", 0) == 0)
      Cut.insert(name);
    if (line.rfind("heal ", 0) == 0)
      Cut.erase(name);
    if (line.rfind("reset ", 0) != 0)
      return;
    for (const LinkPointer &it : All)
      if (it->From == name) {
        ::shutdown(it->Here, SHUT_RDWR);
        ::shutdown(it->There, SHUT_RDWR);
      }
  }

  const Options &Given;
  std::string File;
  std::mutex Lock;
  std::vector<LinkPointer> All;
  std::set<std::string> Cut;
};

//===----------------------------------------------------------------------===//
// Client and operator
//===----------------------------------------------------------------------===//

/// Sends one request. Prints status, whether the answer is complete by HTTP's
/// rules, the number of its body's bytes, and whether it bears a stamp.
int runClient(const Options &options) {
  const std::string file = options.text("record");
  const std::string id = options.text("id");
  const int fd =
      connectTo(options.text("to"), options.number("deadline-ms", 4000));
  if (fd < 0) {
    record(file, "client " + id + ": no connection");
    std::puts("0 none 0 none");
    return 0;
  }
  std::string text =
      options.text("method", "GET") + " " + options.text("path") +
      " HTTP/1.1\r\nHost: " + options.text("host") +
      "\r\nPimentofront-Attempt-Id: " + id +
      "\r\nPimentofront-Deadline-Ms: " + options.text("deadline-ms", "4000") +
      "\r\n";
  for (const std::string &it : options.ExtraHeaders)
    text += it + "\r\n";
  if (options.text("method", "GET") == "POST")
    text += "Content-Length: 0\r\n";
  sendAll(fd, text + "\r\n");
  record(file, "client sends " + id);
  std::string buffer;
  const auto answer = readMessage(fd, buffer);
  ::close(fd);
  const std::string result =
      !answer ? "0 none 0 none"
              : std::to_string(answer->status()) +
                    (answer->Complete ? " complete " : " incomplete ") +
                    std::to_string(answer->Body.size()) +
                    (answer->field("Pimentofront-Response-Stamp").empty()
                         ? " none"
                         : " stamped");
  record(file, "client gets the answer to " + id + ": " + result);
  std::puts(result.c_str());
  return 0;
}

int runOperator(const Options &options) {
  const std::string file = options.text("record");
  std::string body;
  if (const std::string path = options.text("body"); !path.empty()) {
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    body = text.str();
  }
  const std::vector<std::string> addresses = listOf(options.text("to"));
  const std::string what =
      options.text("method", "GET") + " " + options.text("path");
  const long tries = options.number("tries", 100);
  for (long i = 0; i < tries; ++i) {
    const auto answer =
        call(addresses, static_cast<std::size_t>(i),
             options.text("method", "GET"), options.text("path"), body, nullptr,
             static_cast<int>(options.number("redirects", 2)));
    const int status = answer ? answer->status() : 0;
    if (status == 200) {
      record(file, "operator: " + what + " is acknowledged");
      std::fwrite(answer->Body.data(), 1, answer->Body.size(), stdout);
      return 0;
    }
    if (status / 100 == 4) {
      record(file, "operator: " + what + ": " + std::to_string(status));
      return 1;
    }
    sleepFor(100);
  }
  record(file, "operator: " + what + " has no answer");
  return 1;
}

int runGoodbye(const Options &options) {
  const std::string file = options.text("record");
  const std::string id = options.text("id");
  const std::vector<std::string> addresses = listOf(options.text("to"));
  for (std::size_t i = 0; i < 20; ++i) {
    std::string by;
    const auto answer =
        call(addresses, i, "DELETE", "/-/instances/" + id, "", &by);
    if (!answer || answer->status() != 200)
      continue;
    const std::string ip = by.substr(0, by.rfind(':'));
    for (const std::string &it : listOf(options.text("kill")))
      if (it.substr(0, it.find('=')) == ip)
        ::kill(std::atoi(it.c_str() + it.find('=') + 1), SIGKILL);
    record(file, "goodbye of " + id + " is acknowledged by " + ip);
    std::puts(ip.c_str());
    return 0;
  }
  return 1;
}

int printPort() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  socklen_t n = sizeof(address);
  if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), n) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr *>(&address), &n) != 0)
    return 2;
  std::printf("%d\n", ntohs(address.sin_port));
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGUSR1, [](int) { Leaving = 1; });
  Options options;
  for (int i = 2; i + 1 < argc; i += 2) {
    const std::string name = std::string(argv[i]).substr(2);
    if (name == "header")
      options.ExtraHeaders.emplace_back(argv[i + 1]);
    else
      options.Values[name] = argv[i + 1];
  }
  const std::string role = argc > 1 ? argv[1] : "";
  if (role == "worker")
    return Worker(options).run();
  if (role == "engine")
    return Engine(options).run();
  if (role == "proxy")
    return Proxy(options).run();
  if (role == "links")
    return Links(options).run();
  if (role == "client")
    return runClient(options);
  if (role == "operator")
    return runOperator(options);
  if (role == "goodbye")
    return runGoodbye(options);
  if (role == "port")
    return printPort();
  std::fputs("usage: standin-2 "
             "worker|engine|proxy|links|client|operator|goodbye|port --NAME "
             "VALUE...\n",
             stderr);
  return 2;
}
