#include "pimentofront/Http.h"

#include <cerrno>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pimentofront {
namespace {

/// Round trips between zones, and a wait for a turn of a busy server's
/// processor; a caller waits meanwhile.
constexpr Duration Timeout = std::chrono::milliseconds(150);

ServerCheckResult lifeBy(int error) {
  if (error == 0)
    return ServerCheckResult::StillRunning;
  return error == ECONNREFUSED ? ServerCheckResult::Exited
                               : ServerCheckResult::Unknown;
}

} // namespace

struct ConnectProbe::Try {
  ConnectProbe *Owner = nullptr;
  std::uint64_t Id = 0;
  evutil_socket_t Socket = -1;
  event *Ready = nullptr;
  /// Ends the try without the socket's word.
  std::unique_ptr<Timer> End;
  Callback Done;

  ~Try() {
    if (Ready)
      event_free(Ready);
    if (Socket >= 0)
      evutil_closesocket(Socket);
  }
  static void onReady(evutil_socket_t fd, short, void *arg) {
    auto *self = static_cast<Try *>(arg);
    int error = 0;
    socklen_t n = sizeof(error);
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n);
    self->Owner->end(self->Id, lifeBy(error));
  }
};

ConnectProbe::ConnectProbe(EventLoop &loop) : Loop(loop) {}
ConnectProbe::~ConnectProbe() = default;

void ConnectProbe::start(const std::string &address, Callback done) {
  const std::uint64_t id = ++LastId;
  auto &slot = Tries[id];
  slot = std::make_unique<Try>();
  slot->Owner = this;
  slot->Id = id;
  slot->Done = std::move(done);
  slot->Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto parsed = HostPort::parse(address);
  const sockaddr_in to = toSocketAddress(parsed.value_or(HostPort{}));
  const int result = ::connect(
      slot->Socket, reinterpret_cast<const sockaddr *>(&to), sizeof(to));
  // A refusal that comes at once, from this host, is told a turn later, too. It
  // takes the error from the socket, which would then look connected.
  if (result != 0 && errno == ECONNREFUSED) {
    slot->End = Loop.after(Duration::zero(),
                           [this, id] { end(id, ServerCheckResult::Exited); });
    return;
  }
  slot->Ready =
      event_new(Loop.base(), slot->Socket, EV_WRITE, Try::onReady, slot.get());
  event_add(slot->Ready, nullptr);
  slot->End =
      Loop.after(Timeout, [this, id] { end(id, ServerCheckResult::Unknown); });
}

void ConnectProbe::end(std::uint64_t id, ServerCheckResult life) {
  const auto found = Tries.extract(id);
  if (found)
    found.mapped()->Done(life);
}

} // namespace pimentofront
