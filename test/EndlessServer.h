#ifndef PIMENTOFRONT_TEST_ENDLESS_SERVER_H
#define PIMENTOFRONT_TEST_ENDLESS_SERVER_H

#include "pimentofront/Net.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <csignal>
#include <map>

namespace pimentofront::test {

/// \class EndlessServerOptions
struct EndlessServerOptions {
  /// Sent once, after a request's head.
  std::string Begin;
  /// Sent again and again until the client closes the connection.
  std::string Repeat;
  /// Time between two repeats; zero: as fast as the client reads.
  Duration Interval = Duration::zero();
};

/// \class EndlessServer
/// \brief A server that never ends what it sends.
class EndlessServer {
public:
  EndlessServer(EventLoop &loop, const HostPort &address,
                EndlessServerOptions options)
      : Loop(loop), Options(std::move(options)) {
    // It writes to connections that the client has closed.
    std::signal(SIGPIPE, SIG_IGN);
    const sockaddr_in to = toSocketAddress(address);
    Listener = evconnlistener_new_bind(
        loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        /*backlog=*/16, reinterpret_cast<const sockaddr *>(&to), sizeof(to));
    if (!Listener)
      throw std::runtime_error("the endless server can't listen");
  }
  ~EndlessServer() {
    while (!Connections.empty())
      close(Connections.begin()->first);
    evconnlistener_free(Listener);
  }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  std::size_t open() const { return Connections.size(); }
  std::size_t accepted() const { return Accepted; }
  /// \returns the bytes that were handed to the kernel.
  std::size_t sent() const { return Sent; }

private:
  static void onAccept(evconnlistener *, evutil_socket_t fd, sockaddr *, int,
                       void *arg) {
    auto *self = static_cast<EndlessServer *>(arg);
    bufferevent *bev =
        bufferevent_socket_new(self->Loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    self->Connections[bev];
    ++self->Accepted;
    bufferevent_setcb(bev, onRequest, nullptr, onClosed, self);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
  }
  static void onRequest(bufferevent *bev, void *arg) {
    auto *self = static_cast<EndlessServer *>(arg);
    evbuffer *input = bufferevent_get_input(bev);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (self->Connections.at(bev))
      return;
    self->write(bev, self->Options.Begin);
    if (self->Options.Interval > Duration::zero()) {
      self->Connections.at(bev) =
          self->Loop.every(self->Options.Interval, [self, bev] {
            self->write(bev, self->Options.Repeat);
          });
      return;
    }
    bufferevent_setcb(bev, onRequest, onWritten, onClosed, self);
    onWritten(bev, self);
  }
  static void onWritten(bufferevent *bev, void *arg) {
    auto *self = static_cast<EndlessServer *>(arg);
    constexpr std::size_t Piece = std::size_t(16) << 10;
    std::string piece;
    while (piece.size() < Piece)
      piece += self->Options.Repeat;
    self->write(bev, piece);
  }
  static void onClosed(bufferevent *bev, short, void *arg) {
    static_cast<EndlessServer *>(arg)->close(bev);
  }
  void write(bufferevent *bev, const std::string &bytes) {
    Sent += bytes.size();
    bufferevent_write(bev, bytes.data(), bytes.size());
  }
  void close(bufferevent *bev) {
    Connections.erase(bev);
    bufferevent_free(bev);
  }

  EventLoop &Loop;
  EndlessServerOptions Options;
  evconnlistener *Listener = nullptr;
  std::map<bufferevent *, std::unique_ptr<Timer>> Connections;
  std::size_t Accepted = 0;
  std::size_t Sent = 0;
};

} // namespace pimentofront::test

#endif
