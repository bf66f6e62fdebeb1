#ifndef PIMENTOFRONT_SOAK_TCP_PROXY_H
#define PIMENTOFRONT_SOAK_TCP_PROXY_H

#include "pimentofront/Net.h"

#include <list>

struct bufferevent;
struct evconnlistener;

namespace pimentofront::soak {

/// What a proxy does to the connections that pass through it.
enum class Disturbance : std::uint8_t {
  None,
  /// Bytes come later, in both directions.
  Delay,
  /// Nothing passes until it ends; then all that was held up does.
  Cut,
  /// The same in the direction away from whoever connected.
  CutOneWay,
  /// The connections of now never carry a byte again; new ones do.
  Silence,
  /// The connections of now are reset; new ones work.
  Reset,
};
const char *disturbanceName(Disturbance disturbance);

/// \class TcpProxy
/// \brief Carries connections on loopback between two addresses, and disturbs
/// them from outside of the processes at both ends.
class TcpProxy {
public:
  /// \throws std::runtime_error when \p listen can't be bound.
  TcpProxy(EventLoop &loop, const HostPort &listen, const HostPort &target);
  ~TcpProxy();
  TcpProxy(const TcpProxy &) = delete;
  TcpProxy &operator=(const TcpProxy &) = delete;

  /// \param delay counts for Disturbance::Delay only.
  void disturb(Disturbance disturbance, Duration delay);
  void heal() { Present = Disturbance::None; }

private:
  struct Side {
    bufferevent *Bev = nullptr;
    /// What came from the other side and when it may go on.
    std::deque<std::pair<TimePoint, std::string>> Held;
    /// This side has ended.
    bool Ended = false;
  };
  struct Connection {
    TcpProxy *Owner = nullptr;
    Side Caller;
    Side Target;
    bool Silent = false;
    bool Over = false;
  };
  static void onAccept(evconnlistener *, int fd, struct sockaddr *, int,
                       void *arg);
  static void onReadable(bufferevent *bev, void *arg);
  static void onEvent(bufferevent *bev, short what, void *arg);
  static void setUp(bufferevent *bev, Connection &connection);
  bool passes(const Connection &connection, const Side &to) const;
  void pump(Connection &connection);
  void end(Connection &connection, bool reset);
  void tick();

  EventLoop &Loop;
  HostPort TargetAddress;
  evconnlistener *Listener = nullptr;
  std::list<Connection> Connections;
  Disturbance Present = Disturbance::None;
  Duration Delay = Duration::zero();
  std::unique_ptr<Timer> Ticker;
};

} // namespace pimentofront::soak

#endif
