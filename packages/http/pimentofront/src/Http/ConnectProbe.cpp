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

ServerCheckResult resultForError(int error) {
  if (error == 0)
    return ServerCheckResult::StillRunning;
  return error == ECONNREFUSED ? ServerCheckResult::Exited
                               : ServerCheckResult::Unknown;
}

} // namespace

struct ConnectProbe::Attempt {
  ConnectProbe *Owner = nullptr;
  std::uint64_t Id = 0;
  evutil_socket_t Socket = -1;
  event *Ready = nullptr;
  /// Ends the attempt without a socket event: after the timeout, or at once if
  /// connect() has returned a refusal.
  std::unique_ptr<Timer> End;
  Callback Done;

  ~Attempt() {
    if (Ready)
      event_free(Ready);
    if (Socket >= 0)
      evutil_closesocket(Socket);
  }
  static void onReady(evutil_socket_t fd, short, void *arg) {
    auto *self = static_cast<Attempt *>(arg);
    int error = 0;
    socklen_t n = sizeof(error);
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n);
    self->Owner->end(self->Id, resultForError(error));
  }
};

ConnectProbe::ConnectProbe(EventLoop &loop) : Loop(loop) {}
ConnectProbe::~ConnectProbe() = default;

void ConnectProbe::start(const std::string &address, Callback done) {
  const std::uint64_t id = ++LastId;
  auto &slot = Attempts[id];
  slot = std::make_unique<Attempt>();
  slot->Owner = this;
  slot->Id = id;
  slot->Done = std::move(done);
  slot->Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto parsed = HostPort::parse(address);
  const sockaddr_in to = toSocketAddress(parsed.value_or(HostPort{}));
  const int result = ::connect(
      slot->Socket, reinterpret_cast<const sockaddr *>(&to), sizeof(to));
  // connect() to this host can return a refusal at once. It is reported from
  // the event loop like any other result, but not by a socket event: connect()
  // has cleared the socket's error, so the socket would look connected.
  if (result != 0 && errno == ECONNREFUSED) {
    slot->End = Loop.after(Duration::zero(),
                           [this, id] { end(id, ServerCheckResult::Exited); });
    return;
  }
  slot->Ready = event_new(Loop.base(), slot->Socket, EV_WRITE, Attempt::onReady,
                          slot.get());
  event_add(slot->Ready, nullptr);
  slot->End =
      Loop.after(Timeout, [this, id] { end(id, ServerCheckResult::Unknown); });
}

void ConnectProbe::end(std::uint64_t id, ServerCheckResult outcome) {
  const auto found = Attempts.extract(id);
  if (found)
    found.mapped()->Done(outcome);
}

} // namespace pimentofront
