#include "Crowd.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdexcept>
#include <sys/socket.h>

namespace pimentofront::crowd {

struct Crowd::Client {
  explicit Client(Crowd &owner) : Owner(owner) {
    const CrowdPlan &plan = owner.Plan;
    const int fd =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
      throw std::runtime_error("no socket for a client");
    if (!plan.Reads) {
      const int window = 4096;
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    }
    Bev = bufferevent_socket_new(owner.Loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(Bev, onReadable, nullptr, onEvent, this);
    evbuffer *output = bufferevent_get_output(Bev);
    evbuffer_add_cb(output, onOutput, this);
    add(plan.First);
    for (std::size_t i = 0; i < plan.Repetitions; ++i)
      add(plan.Repeated);
    const sockaddr_in to = toSocketAddress(plan.Address);
    bufferevent_enable(Bev, EV_WRITE);
    if (!plan.Reads)
      bufferevent_disable(Bev, EV_READ);
    else
      bufferevent_enable(Bev, EV_READ);
    ++owner.Open;
    bufferevent_socket_connect(Bev, reinterpret_cast<const sockaddr *>(&to),
                               sizeof(to));
  }
  ~Client() { bufferevent_free(Bev); }

  void add(std::string_view bytes) {
    evbuffer_add_reference(bufferevent_get_output(Bev), bytes.data(),
                           bytes.size(), nullptr, nullptr);
  }

  static void onReadable(bufferevent *bev, void *arg) {
    evbuffer *input = bufferevent_get_input(bev);
    evbuffer_drain(input, evbuffer_get_length(input));
    static_cast<Client *>(arg)->Owner.recordChange();
  }
  static void onOutput(evbuffer *, const evbuffer_cb_info *, void *arg) {
    static_cast<Client *>(arg)->Owner.recordChange();
  }
  static void onEvent(bufferevent *bev, short what, void *arg) {
    auto *self = static_cast<Client *>(arg);
    if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) || self->Closed)
      return;
    self->Closed = true;
    --self->Owner.Open;
    self->Owner.recordChange();
    bufferevent_disable(bev, EV_READ | EV_WRITE);
  }

  Crowd &Owner;
  bufferevent *Bev = nullptr;
  bool Closed = false;
};

Crowd::Crowd(EventLoop &loop, CrowdPlan plan)
    : Loop(loop), Plan(std::move(plan)), ChangedAt(loop.now()) {
  for (int i = 0; i < Plan.Clients; ++i)
    Clients.push_back(std::make_unique<Client>(*this));
  if (Plan.Dripped.empty())
    return;
  DripTimer = loop.every(Plan.DripPeriod, [this] {
    const char *byte = &Plan.Dripped[Dripped++ % Plan.Dripped.size()];
    for (const auto &it : Clients)
      if (!it->Closed)
        it->add({byte, 1});
  });
}

Crowd::~Crowd() = default;

} // namespace pimentofront::crowd
