#ifndef PIMENTOFRONT_NET_DETAIL_WEB_SOCKET_PEER_H
#define PIMENTOFRONT_NET_DETAIL_WEB_SOCKET_PEER_H

#include <cstddef>
#include <memory>
#include <string>

struct bufferevent;

namespace pimentofront {
namespace detail {

/// \class WebSocketHandler
/// \brief What happens on one WebSocket connection.
class WebSocketHandler {
public:
  virtual ~WebSocketHandler() = default;
  virtual void onOpen() = 0;
  virtual void onFrame(const std::string &bytes) = 0;
  /// The connection has ended, in whatever way; the last call.
  virtual void onClosed() = 0;
};

/// \class WebSocketPeer
/// \brief One WebSocket connection over a bufferevent of the loop, which it
/// owns. May be destroyed at any time but inside a call of its handler.
///
/// This header needs no websocketpp, and stays C++17.
class WebSocketPeer {
public:
  virtual ~WebSocketPeer() = default;
  virtual void send(const std::string &bytes) = 0;
  /// \returns bytes that the other side hasn't taken yet.
  virtual std::size_t unsentBytes() const = 0;
};

/// Limit of one frame, in bytes.
constexpr std::size_t MaxFrameBytes = std::size_t(4) << 20;

/// Serves a connection that was accepted.
std::unique_ptr<WebSocketPeer> acceptWebSocket(bufferevent *bev,
                                               WebSocketHandler &handler);
/// Opens one; \p bev is already connecting.
std::unique_ptr<WebSocketPeer> openWebSocket(bufferevent *bev,
                                             const std::string &address,
                                             WebSocketHandler &handler);

} // namespace detail
} // namespace pimentofront

#endif
