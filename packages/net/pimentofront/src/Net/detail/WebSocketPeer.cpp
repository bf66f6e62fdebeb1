#include "WebSocketPeer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <type_traits>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace pimentofront {
namespace detail {
namespace {

/// The read buffers are small since a process has hundreds of idle connections.
struct ServerConfig : websocketpp::config::core {
  static const std::size_t connection_read_buffer_size = 1024;
  static const std::size_t max_message_size = MaxFrameBytes;
};
struct ClientConfig : websocketpp::config::core_client {
  static const std::size_t connection_read_buffer_size = 1024;
  static const std::size_t max_message_size = MaxFrameBytes;
};

template <class Endpoint> Endpoint &sharedEndpoint() {
  static Endpoint *endpoint = [] {
    auto *it = new Endpoint();
    it->clear_access_channels(websocketpp::log::alevel::all);
    it->clear_error_channels(websocketpp::log::elevel::all);
    it->set_max_message_size(MaxFrameBytes);
    return it;
  }();
  return *endpoint;
}

template <class Endpoint> class EndpointPeer : public WebSocketPeer {
public:
  using Connection = typename Endpoint::connection_ptr;

  EndpointPeer(bufferevent *bev, Connection con, WebSocketHandler &handler)
      : Bev(bev), Con(std::move(con)), Handler(handler) {
    Con->set_write_handler(
        [this](websocketpp::connection_hdl, const char *data, std::size_t n) {
          if (Bev)
            bufferevent_write(Bev, data, n);
          return websocketpp::lib::error_code();
        });
    Con->set_open_handler([this](websocketpp::connection_hdl) {
      Open = true;
      Handler.onOpen();
    });
    Con->set_message_handler([this](websocketpp::connection_hdl,
                                    typename Endpoint::message_ptr message) {
      if (Open)
        Handler.onFrame(message->get_payload());
    });
    Con->set_close_handler([this](websocketpp::connection_hdl) { end(); });
    Con->set_fail_handler([this](websocketpp::connection_hdl) { end(); });
    bufferevent_setcb(Bev, onReadable, nullptr, onEvent, this);
    bufferevent_enable(Bev, EV_READ | EV_WRITE);
  }

  ~EndpointPeer() override {
    Ended = true;
    closeSocket();
    Con->set_open_handler(nullptr);
    Con->set_message_handler(nullptr);
    Con->set_close_handler(nullptr);
    Con->set_fail_handler(nullptr);
    Con->eof();
  }

  void send(const std::string &bytes) override {
    if (Open && Bev)
      Con->send(bytes, websocketpp::frame::opcode::binary);
  }

  void allowLargeFrames() override { Con->set_max_message_size(MaxFrameBytes); }

  std::size_t unsentBytes() const override {
    return Bev ? evbuffer_get_length(bufferevent_get_output(Bev)) : 0;
  }

private:
  static void onReadable(bufferevent *bev, void *arg) {
    auto *self = static_cast<EndpointPeer *>(arg);
    evbuffer *input = bufferevent_get_input(bev);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, &bytes[0], bytes.size());
    self->Con->read_all(bytes.data(), bytes.size());
  }

  static void onEvent(bufferevent *, short what, void *arg) {
    auto *self = static_cast<EndpointPeer *>(arg);
    if (what & BEV_EVENT_CONNECTED) {
      self->connected();
      return;
    }
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
      self->end();
  }

  /// A client starts the handshake once TCP is connected. A server has started
  /// in acceptWebSocket().
  void connected() {
    if constexpr (!IsServer)
      sharedEndpoint<Endpoint>().connect(Con);
  }

  void end() {
    if (Ended)
      return;
    Ended = true;
    Open = false;
    closeSocket();
    Handler.onClosed();
  }

  void closeSocket() {
    if (Bev)
      bufferevent_free(Bev);
    Bev = nullptr;
  }

  static constexpr bool IsServer =
      std::is_same_v<Endpoint, websocketpp::server<ServerConfig>>;
  bufferevent *Bev;
  Connection Con;
  WebSocketHandler &Handler;
  bool Open = false;
  bool Ended = false;
};

} // namespace

std::unique_ptr<WebSocketPeer> acceptWebSocket(bufferevent *bev,
                                               WebSocketHandler &handler) {
  using Server = websocketpp::server<ServerConfig>;
  auto con = sharedEndpoint<Server>().get_connection();
  con->set_max_message_size(MaxFirstFrameBytes);
  auto peer = std::make_unique<EndpointPeer<Server>>(bev, con, handler);
  con->start();
  return peer;
}

std::unique_ptr<WebSocketPeer> openWebSocket(bufferevent *bev,
                                             const std::string &address,
                                             WebSocketHandler &handler) {
  using Client = websocketpp::client<ClientConfig>;
  websocketpp::lib::error_code ec;
  auto con =
      sharedEndpoint<Client>().get_connection("ws://" + address + "/", ec);
  if (ec)
    return nullptr;
  return std::make_unique<EndpointPeer<Client>>(bev, con, handler);
}

} // namespace detail
} // namespace pimentofront
