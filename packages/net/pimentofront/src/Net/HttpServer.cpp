#include "pimentofront/Net.h"

#include <evhtp.h>
#include <stdexcept>

namespace pimentofront {
namespace {

timeval secondsOf(Duration d) {
  return {static_cast<time_t>(d.count() / 1'000'000), 0};
}

/// libevhtp frees its request object after the response or when the connection
/// closes; `Request` is null from then on.
class EvhtpExchange : public HttpExchange {
public:
  explicit EvhtpExchange(evhtp_request_t *req) : Request(req) {
    const std::size_t n = evbuffer_get_length(req->buffer_in);
    Body.resize(n);
    evbuffer_copyout(req->buffer_in, Body.data(), n);
    Path = req->uri->path->full ? req->uri->path->full : "";
    Method = htparser_get_methodstr_m(req->method);
  }

  std::string_view method() const override { return Method; }
  std::string_view path() const override { return Path; }
  std::string_view body() const override { return Body; }

  std::string_view header(const char *name) const override {
    const char *value =
        Request ? evhtp_header_find(Request->headers_in, name) : nullptr;
    return value ? value : "";
  }

  bool isDisconnected() const override { return !Request; }

  std::size_t unsentBytes() const override {
    if (!Request)
      return 0;
    bufferevent *bev = evhtp_request_get_bev(Request);
    return evbuffer_get_length(bufferevent_get_output(bev));
  }

  void reply(int status, const std::vector<HttpHeader> &headers,
             std::string_view body) override {
    if (!Request)
      return;
    addHeaders(headers);
    evbuffer_add(Request->buffer_out, body.data(), body.size());
    Answered = true;
    evhtp_send_reply(Request, static_cast<evhtp_res>(status));
  }

  void beginStream(int status,
                   const std::vector<HttpHeader> &headers) override {
    if (!Request)
      return;
    addHeaders(headers);
    evhtp_send_reply_chunk_start(Request, static_cast<evhtp_res>(status));
  }

  void sendPiece(std::string_view bytes) override {
    if (!Request || bytes.empty())
      return;
    evbuffer *buf = evbuffer_new();
    evbuffer_add(buf, bytes.data(), bytes.size());
    evhtp_send_reply_chunk(Request, buf);
    evbuffer_free(buf);
  }

  void endStream() override {
    if (!Request)
      return;
    Answered = true;
    evhtp_send_reply_chunk_end(Request);
  }

  void abort() override {
    if (!Request)
      return;
    evhtp_connection_t *con = evhtp_request_get_connection(Request);
    evhtp_connection_free(con);
  }

  void onDisconnect(std::function<void()> action) override {
    DisconnectAction = std::move(action);
  }

  void requestEnded() {
    Request = nullptr;
    auto action = std::move(DisconnectAction);
    DisconnectAction = nullptr;
    if (!Answered && action)
      action();
  }

private:
  void addHeaders(const std::vector<HttpHeader> &headers) {
    for (const HttpHeader &it : headers)
      evhtp_headers_add_header(
          Request->headers_out,
          evhtp_header_new(it.Name.c_str(), it.Value.c_str(), 1, 1));
  }

  evhtp_request_t *Request;
  std::string Method;
  std::string Path;
  std::string Body;
  std::function<void()> DisconnectAction;
  bool Answered = false;
};

/// Keeps the exchange alive until libevhtp frees the request.
struct ExchangeRef {
  std::shared_ptr<EvhtpExchange> Exchange;
  timeval CallerTimeout;
};

evhtp_res onRequestEnded(evhtp_request_t *req, void *arg) {
  auto *ref = static_cast<ExchangeRef *>(arg);
  // Restores the timeouts for the next request on a keep-alive connection.
  if (bufferevent *bev = evhtp_request_get_bev(req))
    bufferevent_set_timeouts(bev, &ref->CallerTimeout, &ref->CallerTimeout);
  ref->Exchange->requestEnded();
  delete ref;
  return EVHTP_RES_OK;
}

} // namespace

struct HttpServer::Impl {
  HttpHandler &Handler;
  timeval CallerTimeout;
  evhtp_t *Server = nullptr;

  static void onRequest(evhtp_request_t *req, void *arg) {
    auto *self = static_cast<Impl *>(arg);
    auto exchange = std::make_shared<EvhtpExchange>(req);
    auto *ref = new ExchangeRef{exchange, self->CallerTimeout};
    evhtp_request_set_hook(req, evhtp_hook_on_request_fini,
                           reinterpret_cast<evhtp_hook>(onRequestEnded), ref);
    // The request is complete. Computing the response has no time limit; only a
    // caller that doesn't read the response is disconnected.
    bufferevent_set_timeouts(evhtp_request_get_bev(req), nullptr,
                             &self->CallerTimeout);
    self->Handler.onRequest(std::move(exchange));
  }
};

HttpServer::HttpServer(EventLoop &loop, const HttpServerOptions &options,
                       HttpHandler &handler)
    : State(new Impl{handler, secondsOf(options.CallerTimeout)}) {
  State->Server = evhtp_new(loop.base(), nullptr);
  const timeval tv = secondsOf(options.CallerTimeout);
  evhtp_set_timeouts(State->Server, &tv, &tv);
  evhtp_set_max_body_size(State->Server, options.MaxBodyBytes);
  evhtp_set_gencb(State->Server, Impl::onRequest, State.get());
  constexpr int Backlog = 1024;
  if (evhtp_bind_socket(State->Server, options.Address.Ip.c_str(),
                        options.Address.Port, Backlog) != 0)
    throw std::runtime_error("can't listen for HTTP on " + options.Address.Ip +
                             ":" + std::to_string(options.Address.Port));
}

HttpServer::~HttpServer() {
  evhtp_unbind_socket(State->Server);
  evhtp_free(State->Server);
}

} // namespace pimentofront
