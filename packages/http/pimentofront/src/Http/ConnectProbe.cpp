#include "pimentofront/Http.h"

#include <cerrno>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pimentofront {
namespace {

/// Covers round trips between zones and the scheduling delay on a busy server.
/// It is short since a caller waits for the result.
constexpr Duration Timeout = std::chrono::milliseconds(150);
/// Interval between connections of one check. The kernel sends a lost packet of
/// the handshake again only after a second.
constexpr Duration RetryInterval = std::chrono::milliseconds(50);

ServerCheckResult resultForError(int error) {
  if (error == 0)
    return ServerCheckResult::StillRunning;
  return error == ECONNREFUSED ? ServerCheckResult::Exited
                               : ServerCheckResult::Unknown;
}

} // namespace

struct ConnectProbe::Attempt {
  /// One connection of the check.
  struct Connection {
    Attempt *Owner = nullptr;
    evutil_socket_t Socket = -1;
    event *Ready = nullptr;

    ~Connection() {
      if (Ready)
        event_free(Ready);
      if (Socket >= 0)
        evutil_closesocket(Socket);
    }
    static void onReady(evutil_socket_t fd, short, void *arg) {
      const auto *self = static_cast<Connection *>(arg);
      int error = 0;
      socklen_t n = sizeof(error);
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n);
      const ServerCheckResult result = resultForError(error);
      // A further connection may tell.
      if (result != ServerCheckResult::Unknown)
        self->Owner->Owner->end(self->Owner->Id, result);
    }
  };

  ConnectProbe *Owner = nullptr;
  std::uint64_t Id = 0;
  sockaddr_in To{};
  std::vector<std::unique_ptr<Connection>> Connections;
  std::unique_ptr<Timer> Retry;
  /// Ends the attempt without a socket event: after the timeout, or at once if
  /// connect() has returned a refusal.
  std::unique_ptr<Timer> End;
  Callback Done;

  void connect();
};

void ConnectProbe::Attempt::connect() {
  Connections.push_back(std::make_unique<Connection>());
  Connection &it = *Connections.back();
  it.Owner = this;
  it.Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int result =
      ::connect(it.Socket, reinterpret_cast<const sockaddr *>(&To), sizeof(To));
  // connect() to this host can return a refusal at once. It is reported from
  // the event loop like any other result, but not by a socket event: connect()
  // has cleared the socket's error, so the socket would look connected.
  if (result != 0 && errno == ECONNREFUSED) {
    End = Owner->Loop.after(Duration::zero(), [this] {
      Owner->end(Id, ServerCheckResult::Exited);
    });
    return;
  }
  it.Ready = event_new(Owner->Loop.base(), it.Socket, EV_WRITE,
                       Connection::onReady, &it);
  event_add(it.Ready, nullptr);
}

ConnectProbe::ConnectProbe(EventLoop &loop) : Loop(loop) {}
ConnectProbe::~ConnectProbe() = default;

void ConnectProbe::start(const std::string &address, Callback done) {
  const std::uint64_t id = ++LastId;
  auto &slot = Attempts[id];
  slot = std::make_unique<Attempt>();
  Attempt &it = *slot;
  it.Owner = this;
  it.Id = id;
  it.Done = std::move(done);
  it.To = toSocketAddress(HostPort::parse(address).value_or(HostPort{}));
  it.End =
      Loop.after(Timeout, [this, id] { end(id, ServerCheckResult::Unknown); });
  it.Retry = Loop.every(RetryInterval, [&it] { it.connect(); });
  it.connect();
}

void ConnectProbe::end(std::uint64_t id, ServerCheckResult outcome) {
  const auto found = Attempts.extract(id);
  if (found)
    found.mapped()->Done(outcome);
}

} // namespace pimentofront
