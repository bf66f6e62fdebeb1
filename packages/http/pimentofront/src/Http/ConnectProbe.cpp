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

ServerLife lifeBy(int error) {
  if (error == 0)
    return ServerLife::Lives;
  return error == ECONNREFUSED ? ServerLife::Ended : ServerLife::Unknown;
}

} // namespace

struct ConnectProbe::Try {
  ConnectProbe *Owner = nullptr;
  std::uint64_t Id = 0;
  evutil_socket_t Socket = -1;
  event *Ready = nullptr;
  std::unique_ptr<Timer> Refused;
  Callback Done;

  ~Try() {
    if (Ready)
      event_free(Ready);
    if (Socket >= 0)
      evutil_closesocket(Socket);
  }
  static void onReady(evutil_socket_t fd, short what, void *arg) {
    auto *self = static_cast<Try *>(arg);
    int error = ETIMEDOUT;
    socklen_t n = sizeof(error);
    if (what & EV_WRITE)
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
  // A refusal may come at once from this host; it is told a turn later, too.
  const bool refused = result != 0 && errno == ECONNREFUSED;
  slot->Ready =
      event_new(Loop.base(), slot->Socket, EV_WRITE, Try::onReady, slot.get());
  constexpr std::int64_t MicrosPerSecond = 1'000'000;
  const timeval tv{.tv_sec = Timeout.count() / MicrosPerSecond,
                   .tv_usec = Timeout.count() % MicrosPerSecond};
  event_add(slot->Ready, &tv);
  if (refused)
    slot->Refused = Loop.after(Duration::zero(),
                               [this, id] { end(id, ServerLife::Ended); });
}

void ConnectProbe::end(std::uint64_t id, ServerLife life) {
  const auto found = Tries.extract(id);
  if (found)
    found.mapped()->Done(life);
}

} // namespace pimentofront
