#include "pimentofront/Net.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <evhtp.h>
#include <stdexcept>
#include <unordered_map>

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
    evbuffer_remove(req->buffer_in, Body.data(), n);
    Path = req->uri->path->full ? req->uri->path->full : "";
    Method = htparser_get_methodstr_m(req->method);
  }

  std::string_view method() const override { return Method; }
  std::string_view path() const override { return Path; }
  std::string_view body() const override { return Body; }
  std::string takeBody() override { return std::exchange(Body, std::string()); }

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

evbuffer *inputOf(const evhtp_connection_t *con) {
  return bufferevent_get_input(con->bev);
}

evbuffer *outputOf(const evhtp_connection_t *con) {
  return bufferevent_get_output(con->bev);
}

constexpr int StatusUnavailable = 503;

/// Bytes of one read of a body, and of a head; as many are read ahead while a
/// request is handled.
constexpr std::size_t BodyReadBytes = std::size_t(16) << 10;
constexpr std::size_t HeadReadBytes = std::size_t(4) << 10;
/// libevhtp keeps each header in several allocations.
constexpr std::size_t MemoryOfHeadByte = 4;
/// Interval between checks of the limits on time, which are seconds long.
constexpr Duration SweepPeriod = std::chrono::milliseconds(250);
/// A caller that has read nothing for this time may be disconnected for want of
/// room.
constexpr Duration UnreadTime = std::chrono::seconds(2);
/// Unread bytes of one response that grows though all responses take the whole
/// bound, above which its caller is disconnected.
constexpr std::size_t MaxUnreadBytes = std::size_t(64) << 10;
/// Pause before connections are accepted again after a failure.
constexpr Duration AcceptPause = std::chrono::milliseconds(100);
/// Unread responses may take one in so many bytes of the bound; unfinished
/// requests, too.
constexpr std::size_t PartOfBound = 2;

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<Impl> {
  using ConnectionId = std::uint64_t;

  /// What one connection holds.
  struct Connection {
    Impl &Owner;
    ConnectionId Id = 0;
    evhtp_connection_t *Handle = nullptr;
    /// A request is arriving, and since when.
    bool Receiving = false;
    TimePoint ReceivingSince;
    /// Its bytes so far, as they were sent.
    std::size_t Received = 0;
    std::size_t Headers = 0;
    bool HeadDone = false;
    /// The gate has stopped reading.
    bool Stopped = false;
    /// As much is read ahead as may be.
    bool ReadAheadFull = false;
    /// A request is being handled, and the bytes of its body.
    bool Handling = false;
    std::size_t Body = 0;
    bool Answered = false;
    std::size_t Unsent = 0;
    TimePoint ReadAt;
  };

  /// Keeps the exchange alive until libevhtp frees the request.
  struct ExchangeRef {
    std::weak_ptr<Impl> Owner;
    ConnectionId Id = 0;
    std::shared_ptr<EvhtpExchange> Exchange;
  };

  EventLoop &Loop;
  HttpHandler &Handler;
  HttpServerOptions Options;
  timeval CallerTimeout;
  ReceiveGate Gate;
  CloseOrder Uses;
  evhtp_t *Server = nullptr;
  ConnectionId LastId = 0;
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> Connections;
  std::unordered_map<const evhtp_connection_t *, ConnectionId> Ids;
  /// Bytes of the bodies that are handled, and of unread responses.
  std::size_t Handled = 0;
  std::size_t Unread = 0;
  /// Connections that end in the next iteration of the event loop, since they
  /// may be inside one of their own callbacks.
  std::vector<ConnectionId> Ending;
  std::unique_ptr<Timer> EndTimer;
  std::unique_ptr<Timer> SweepTimer;
  std::unique_ptr<Timer> AcceptTimer;
  ShedObserver OnShed;

  Impl(EventLoop &loop, HttpHandler &handler, const HttpServerOptions &options)
      : Loop(loop), Handler(handler), Options(options),
        CallerTimeout(secondsOf(options.CallerTimeout)),
        Gate({.Limit = options.MaxHeldBytes / PartOfBound}) {}

  //===--------------------------------------------------------------------===//
  // Connections
  //===--------------------------------------------------------------------===//

  static evhtp_res onAccepted(evhtp_connection_t *con, void *arg) {
    auto *self = static_cast<Impl *>(arg);
    if (!self->makeRoom()) {
      self->recordShed(ShedReason::NoConnection);
      return EVHTP_RES_ERROR;
    }
    self->add(con);
    return EVHTP_RES_OK;
  }

  bool makeRoom() {
    if (Options.MaxConnections == 0 ||
        Connections.size() < Options.MaxConnections)
      return true;
    const auto id = Uses.first(Loop.now());
    if (!id)
      return false;
    evhtp_connection_free(Connections.at(*id)->Handle);
    recordShed(ShedReason::Displaced);
    return true;
  }

  void add(evhtp_connection_t *con) {
    const TimePoint now = Loop.now();
    const ConnectionId id = ++LastId;
    auto connection = std::make_unique<Connection>(
        Connection{.Owner = *this, .Id = id, .Handle = con, .ReadAt = now});
    Connection *arg = connection.get();
    bufferevent_setwatermark(con->bev, EV_READ, 0, HeadReadBytes);
    evbuffer_add_cb(inputOf(con), onInput, arg);
    evbuffer_add_cb(outputOf(con), onOutput, arg);
    const auto hook = [&](evhtp_hook_type type, auto function) {
      evhtp_connection_set_hook(con, type,
                                reinterpret_cast<evhtp_hook>(+function), arg);
    };
    hook(evhtp_hook_on_header, onHeader);
    hook(evhtp_hook_on_headers, onHeadEnd);
    hook(evhtp_hook_on_connection_fini, onConnectionEnd);
    Connections.emplace(id, std::move(connection));
    Ids[con] = id;
    Uses.record(now, id, ConnectionUse::Unused);
  }

  /// Without a pause, the event loop would call this again at once for as long
  /// as there is no descriptor.
  static void onAcceptError(evconnlistener *listener, void *arg) {
    auto *self = static_cast<Impl *>(static_cast<evhtp_t *>(arg)->arg);
    evconnlistener_disable(listener);
    self->recordShed(ShedReason::NoDescriptor);
    if (const auto id = self->Uses.first(self->Loop.now()))
      self->endLater(*self->Connections.at(*id), ShedReason::Displaced);
    self->AcceptTimer = self->Loop.after(
        AcceptPause, [listener] { evconnlistener_enable(listener); });
  }

  static evhtp_res onConnectionEnd(evhtp_connection_t *, void *arg) {
    auto *it = static_cast<Connection *>(arg);
    detach(*it);
    it->Owner.remove(*it);
    return EVHTP_RES_OK;
  }

  /// Leaves the connection to libevhtp alone.
  static void detach(Connection &it) {
    evhtp_connection_t *con = it.Handle;
    evbuffer_remove_cb(inputOf(con), onInput, &it);
    evbuffer_remove_cb(outputOf(con), onOutput, &it);
    for (const evhtp_hook_type hook :
         {evhtp_hook_on_header, evhtp_hook_on_headers,
          evhtp_hook_on_connection_fini})
      evhtp_connection_unset_hook(con, hook);
  }

  void remove(Connection &it) {
    const ConnectionId id = it.Id;
    Handled -= it.Body;
    Unread -= it.Unsent;
    Uses.remove(id);
    Ids.erase(it.Handle);
    Connections.erase(id);
    Gate.remove(id);
    resume();
  }

  void endLater(Connection &it, ShedReason reason) {
    recordShed(reason);
    endLater(it);
  }

  void endLater(Connection &it) {
    Ending.push_back(it.Id);
    if (!EndTimer)
      EndTimer = Loop.after(Duration::zero(), [this] { endThem(); });
  }

  void endThem() {
    const auto keep = std::move(EndTimer);
    for (const ConnectionId id : std::exchange(Ending, {}))
      if (const auto it = Connections.find(id); it != Connections.end())
        evhtp_connection_free(it->second->Handle);
  }

  void recordShed(ShedReason reason) const {
    if (OnShed)
      OnShed(reason);
  }

  void recordUse(const Connection &it) {
    ConnectionUse use =
        it.Answered ? ConnectionUse::Idle : ConnectionUse::Unused;
    if (it.Handling)
      use = ConnectionUse::Busy;
    else if (it.Unsent > 0)
      use = ConnectionUse::Unread;
    else if (it.Receiving)
      use = ConnectionUse::Receiving;
    Uses.record(Loop.now(), it.Id, use);
  }

  //===--------------------------------------------------------------------===//
  // Requests that arrive
  //===--------------------------------------------------------------------===//

  static void onInput(evbuffer *input, const evbuffer_cb_info *info,
                      void *arg) {
    auto *it = static_cast<Connection *>(arg);
    if (info->n_added == 0)
      return;
    if (!it->Handling)
      return it->Owner.receive(*it, info->n_added);
    // While the input is at its watermark, libevent would call libevhtp again
    // and again.
    if (evbuffer_get_length(input) < HeadReadBytes)
      return;
    it->ReadAheadFull = true;
    bufferevent_disable(it->Handle->bev, EV_READ);
  }

  void receive(Connection &it, std::size_t n) {
    const TimePoint now = Loop.now();
    if (!it.Receiving) {
      it.Receiving = true;
      it.ReceivingSince = now;
      it.Received = 0;
      it.Headers = 0;
      it.HeadDone = false;
    }
    it.Received += n;
    recordUse(it);
    if (!it.HeadDone && it.Received > Options.MaxHeadBytes)
      endLater(it);
    const std::size_t head = it.HeadDone ? 0 : it.Received * MemoryOfHeadByte;
    const evhtp_request_t *req = it.Handle->request;
    const std::size_t body = req ? evbuffer_get_length(req->buffer_in) : 0;
    if (Gate.record(now, it.Id, head + body + n))
      return;
    it.Stopped = true;
    bufferevent_disable(it.Handle->bev, EV_READ);
  }

  void resume() {
    for (const ConnectionId id : Gate.takeResumed(Loop.now())) {
      const auto it = Connections.find(id);
      if (it == Connections.end())
        continue;
      it->second->Stopped = false;
      bufferevent_enable(it->second->Handle->bev, EV_READ);
    }
  }

  static evhtp_res onHeader(evhtp_request_t *, evhtp_header_t *, void *arg) {
    auto *it = static_cast<Connection *>(arg);
    if (++it->Headers > it->Owner.Options.MaxHeaders)
      it->Owner.endLater(*it);
    return EVHTP_RES_OK;
  }

  static evhtp_res onHeadEnd(evhtp_request_t *, evhtp_headers_t *, void *arg) {
    auto *it = static_cast<Connection *>(arg);
    it->HeadDone = true;
    bufferevent_setwatermark(it->Handle->bev, EV_READ, 0, BodyReadBytes);
    return EVHTP_RES_OK;
  }

  /// A request is complete.
  static void onRequest(evhtp_request_t *req, void *arg) {
    auto *self = static_cast<Impl *>(arg);
    self->handle(*self->Connections.at(self->Ids.at(req->conn)), req);
  }

  void handle(Connection &it, evhtp_request_t *req) {
    auto exchange = std::make_shared<EvhtpExchange>(req);
    const std::size_t body = exchange->body().size();
    it.Receiving = false;
    it.Handling = true;
    it.Body = body;
    Handled += body;
    Gate.remove(it.Id);
    recordUse(it);
    evhtp_request_set_hook(req, evhtp_hook_on_request_fini,
                           reinterpret_cast<evhtp_hook>(onRequestEnded),
                           new ExchangeRef{weak_from_this(), it.Id, exchange});
    // The request is complete. Computing the response has no time limit; only a
    // caller that doesn't read the response is disconnected.
    bufferevent_set_timeouts(it.Handle->bev, nullptr, &CallerTimeout);
    resume();
    if (fits(body))
      return Handler.onRequest(std::move(exchange));
    recordShed(ShedReason::Unfinished);
    exchange->reply(StatusUnavailable, {{"Retry-After", "1"}}, "");
  }

  /// \returns whether there is room for a request with a body of \p bytes,
  /// which counts already.
  bool fits(std::size_t bytes) const {
    const std::size_t limit = Options.MaxHeldBytes;
    const std::size_t held = Handled + Unread + Gate.total();
    return limit == 0 || held + headroomBeside(bytes, limit) <= limit;
  }

  static evhtp_res onRequestEnded(evhtp_request_t *, void *arg) {
    const std::unique_ptr<ExchangeRef> ref(static_cast<ExchangeRef *>(arg));
    ref->Exchange->requestEnded();
    const auto self = ref->Owner.lock();
    if (!self)
      return EVHTP_RES_OK;
    if (const auto it = self->Connections.find(ref->Id);
        it != self->Connections.end())
      self->endHandling(*it->second);
    return EVHTP_RES_OK;
  }

  void endHandling(Connection &it) {
    Handled -= std::exchange(it.Body, 0);
    it.Handling = false;
    it.Answered = true;
    bufferevent_setwatermark(it.Handle->bev, EV_READ, 0, HeadReadBytes);
    if (std::exchange(it.ReadAheadFull, false))
      bufferevent_enable(it.Handle->bev, EV_READ);
    // Restores the timeouts for the next request on this connection.
    bufferevent_set_timeouts(it.Handle->bev, &CallerTimeout, &CallerTimeout);
    recordUse(it);
    const std::size_t ahead = evbuffer_get_length(inputOf(it.Handle));
    if (ahead > 0)
      receive(it, ahead);
  }

  //===--------------------------------------------------------------------===//
  // Responses, and limits on time
  //===--------------------------------------------------------------------===//

  static void onOutput(evbuffer *output, const evbuffer_cb_info *info,
                       void *arg) {
    auto *it = static_cast<Connection *>(arg);
    Impl &self = it->Owner;
    const std::size_t before = it->Unsent;
    it->Unsent = evbuffer_get_length(output);
    self.Unread = self.Unread - before + it->Unsent;
    if (before == 0 || info->n_deleted > 0)
      it->ReadAt = self.Loop.now();
    self.recordUse(*it);
    const std::size_t limit = self.Options.MaxHeldBytes;
    if (limit > 0 && self.Unread > limit && info->n_added > 0 &&
        before > MaxUnreadBytes)
      self.endLater(*it, ShedReason::Unread);
  }

  void sweep() {
    const TimePoint now = Loop.now();
    for (const auto &[id, it] : Connections)
      if (isTooSlow(now, *it))
        endLater(*it);
    for (const ConnectionId id : Gate.findSurplus(now))
      if (const auto it = Connections.find(id); it != Connections.end())
        endLater(*it->second, ShedReason::Unfinished);
    disconnectReaders(now);
  }

  bool isTooSlow(TimePoint now, const Connection &it) const {
    if (!it.Receiving)
      return false;
    const Duration sending =
        fromSeconds(static_cast<double>(it.Received) /
                    static_cast<double>(Options.MinBytesPerSecond));
    return now >= it.ReceivingSince + Options.CallerTimeout + sending;
  }

  void disconnectReaders(TimePoint now) {
    const std::size_t limit = Options.MaxHeldBytes / PartOfBound;
    if (limit == 0 || Unread <= limit)
      return;
    std::vector<std::pair<TimePoint, Connection *>> idle;
    for (const auto &[id, it] : Connections)
      if (it->Unsent > 0 && now >= it->ReadAt + UnreadTime)
        idle.emplace_back(it->ReadAt, it.get());
    std::ranges::sort(idle);
    std::size_t left = Unread;
    for (const auto &[readAt, it] : idle) {
      if (left <= limit)
        return;
      left -= it->Unsent;
      endLater(*it, ShedReason::Unread);
    }
  }
};

HttpServer::HttpServer(EventLoop &loop, const HttpServerOptions &options,
                       HttpHandler &handler)
    : State(std::make_shared<Impl>(loop, handler, options)) {
  State->Server = evhtp_new(loop.base(), nullptr);
  State->Server->arg = State.get();
  const timeval tv = secondsOf(options.CallerTimeout);
  evhtp_set_timeouts(State->Server, &tv, &tv);
  evhtp_set_max_body_size(State->Server, options.MaxBodyBytes);
  evhtp_set_post_accept_cb(State->Server, Impl::onAccepted, State.get());
  evhtp_set_gencb(State->Server, Impl::onRequest, State.get());
  constexpr int Backlog = 1024;
  if (evhtp_bind_socket(State->Server, options.Address.Ip.c_str(),
                        options.Address.Port, Backlog) != 0)
    throw std::runtime_error("can't listen for HTTP on " + options.Address.Ip +
                             ":" + std::to_string(options.Address.Port));
  evconnlistener_set_error_cb(State->Server->server, Impl::onAcceptError);
  State->SweepTimer = loop.every(SweepPeriod, [this] { State->sweep(); });
}

HttpServer::~HttpServer() {
  for (const auto &[id, it] : State->Connections)
    Impl::detach(*it);
  evhtp_unbind_socket(State->Server);
  evhtp_free(State->Server);
}

void HttpServer::setShedObserver(ShedObserver observer) {
  State->OnShed = std::move(observer);
}

} // namespace pimentofront
