#ifndef PIMENTOFRONT_NET_DETAIL_WEB_SOCKET_PEER_H
#define PIMENTOFRONT_NET_DETAIL_WEB_SOCKET_PEER_H

#include <cstddef>
#include <memory>
#include <string>

struct bufferevent;

namespace pimentofront {
namespace detail {

/// \class WebSocketHandler
/// \brief Receives the events of one WebSocket connection.
class WebSocketHandler {
public:
  virtual ~WebSocketHandler() = default;
  virtual void onOpen() = 0;
  virtual void onFrame(const std::string &bytes) = 0;
  /// The connection has closed, for any reason. No other call follows.
  virtual void onClosed() = 0;
};

/// \class WebSocketPeer
/// \brief A WebSocket connection over a bufferevent, which it owns. Must not be
/// destroyed inside a call to its handler.
///
/// This header doesn't depend on websocketpp and has to compile as C++17.
class WebSocketPeer {
public:
  virtual ~WebSocketPeer() = default;
  virtual void send(const std::string &bytes) = 0;
  /// \returns the number of bytes that aren't sent to the peer yet.
  virtual std::size_t unsentBytes() const = 0;
  /// Accepts frames of up to MaxFrameBytes from now on. Before, an accepted
  /// connection ends with a frame of more than MaxFirstFrameBytes.
  virtual void allowLargeFrames() = 0;
};

/// Maximum size of a frame in bytes.
constexpr std::size_t MaxFrameBytes = std::size_t(4) << 20;
/// The same while the other end hasn't said which host it is.
constexpr std::size_t MaxFirstFrameBytes = std::size_t(4) << 10;

/// Starts the server side of an accepted connection.
std::unique_ptr<WebSocketPeer> acceptWebSocket(bufferevent *bev,
                                               WebSocketHandler &handler);
/// Creates the client side; the handshake starts once \p bev is connected.
std::unique_ptr<WebSocketPeer> openWebSocket(bufferevent *bev,
                                             const std::string &address,
                                             WebSocketHandler &handler);

} // namespace detail
} // namespace pimentofront

#endif
