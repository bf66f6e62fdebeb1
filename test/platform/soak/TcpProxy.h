#ifndef PIMENTOFRONT_SOAK_TCP_PROXY_H
#define PIMENTOFRONT_SOAK_TCP_PROXY_H

#include "pimentofront/Net.h"

#include <list>

struct bufferevent;
struct evconnlistener;

namespace pimentofront::soak {

/// The fault that a proxy applies to its connections.
enum class Disturbance : std::uint8_t {
  None,
  /// Bytes are delayed in both directions.
  Delay,
  /// Bytes are buffered until the disturbance ends, and delivered then.
  Cut,
  /// The same, but only for bytes from the connecting side to the target.
  CutOneWay,
  /// Existing connections never deliver a byte again; new ones work.
  Silence,
  /// Existing connections are reset; new ones work.
  Reset,
};
const char *disturbanceName(Disturbance disturbance);

/// \class TcpProxy
/// \brief Forwards TCP connections on loopback to a target address and injects
/// network faults without involving the processes at both ends.
class TcpProxy {
public:
  /// \throws std::runtime_error when \p listen can't be bound.
  TcpProxy(EventLoop &loop, const HostPort &listen, const HostPort &target);
  ~TcpProxy();
  TcpProxy(const TcpProxy &) = delete;
  TcpProxy &operator=(const TcpProxy &) = delete;

  /// \param delay used by Disturbance::Delay only.
  void disturb(Disturbance disturbance, Duration delay);
  void heal() { Current = Disturbance::None; }
  /// Refuses new connections, as the host of a process that doesn't run does,
  /// or accepts them again.
  void setRefusing(bool refusing);

private:
  struct Side {
    bufferevent *Bev = nullptr;
    /// Bytes received from the other side, with the time when they may be sent
    /// on.
    std::deque<std::pair<TimePoint, std::string>> Buffered;
    /// Whether this side has closed the connection.
    bool HasClosed = false;
  };
  struct Connection {
    TcpProxy *Owner = nullptr;
    Side Caller;
    Side Target;
    bool Silent = false;
    bool Closed = false;
  };
  static void onAccept(evconnlistener *, int fd, struct sockaddr *, int,
                       void *arg);
  static void onReadable(bufferevent *bev, void *arg);
  static void onEvent(bufferevent *bev, short what, void *arg);
  static void setUp(bufferevent *bev, Connection &connection);
  void listen();
  bool canDeliver(const Connection &connection, const Side &to) const;
  void deliver(Connection &connection);
  void close(Connection &connection, bool reset);
  void tick();

  EventLoop &Loop;
  HostPort ListenAddress;
  HostPort TargetAddress;
  evconnlistener *Listener = nullptr;
  std::list<Connection> Connections;
  Disturbance Current = Disturbance::None;
  Duration Delay = Duration::zero();
  std::unique_ptr<Timer> Ticker;
};

} // namespace pimentofront::soak

#endif
