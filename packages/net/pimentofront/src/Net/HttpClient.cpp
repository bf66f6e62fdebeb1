#include "pimentofront/Net.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <map>
#include <unordered_map>

namespace pimentofront {
namespace {

evhttp_cmd_type methodOf(const std::string &name) {
  if (name == "GET")
    return EVHTTP_REQ_GET;
  if (name == "PUT")
    return EVHTTP_REQ_PUT;
  if (name == "DELETE")
    return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_POST;
}

constexpr std::size_t MaxIdleConnections = 256;
constexpr int StatusOk = 200;
constexpr int LastStatus = 599; // RFC 9110, 15.
constexpr ev_ssize_t MaxHeadBytes = ev_ssize_t(64) << 10;

} // namespace

const char *httpEndingName(HttpEnding ending) {
  constexpr const char *Names[] = {"complete", "not_sent", "broke_off",
                                   "too_large", "too_slow"};
  return Names[static_cast<std::size_t>(ending)];
}

struct HttpClient::Impl {
  /// A call in progress. evhttp's callbacks get its address, so it must not
  /// move.
  struct ActiveCall {
    Impl &Self;
    HttpCallId Id = 0;
    HttpCall Call;
    evhttp_connection *Connection = nullptr;
    /// The call failed after the connection was established.
    bool FailedWhenConnected = false;
    /// Body of a response with another status than 200.
    std::string ErrorBody;
    /// Bytes read from the connection.
    std::size_t Received = 0;
    evbuffer_cb_entry *InputCallback = nullptr;
    /// Ends the call when its response exceeds a limit. Set with the first byte
    /// of the response.
    std::unique_ptr<Timer> Limit;
  };

  EventLoop &Loop;
  HttpCallId LastId = 0;
  std::unordered_map<HttpCallId, std::unique_ptr<ActiveCall>> Active;
  std::map<HostPort, std::vector<evhttp_connection *>> Idle;
  /// Connections and cancelled calls can't be freed inside their own callbacks.
  /// They are kept here until the next iteration of the event loop.
  std::vector<evhttp_connection *> ClosedConnections;
  std::vector<std::unique_ptr<ActiveCall>> CancelledCalls;
  std::unique_ptr<Timer> FreeTimer;
  ExcessObserver OnExcess;

  evhttp_connection *takeConnection(const HttpCall &call) {
    auto &idle = Idle[call.Address];
    if (!call.FreshConnection && !idle.empty()) {
      evhttp_connection *con = idle.back();
      idle.pop_back();
      evhttp_connection_set_closecb(con, nullptr, nullptr);
      return con;
    }
    evhttp_connection *con = evhttp_connection_base_new(
        Loop.base(), nullptr, call.Address.Ip.c_str(), call.Address.Port);
    evhttp_connection_set_retries(con, 0);
    evhttp_connection_set_max_headers_size(con, MaxHeadBytes);
    return con;
  }

  static evbuffer *inputOf(evhttp_connection *con) {
    return bufferevent_get_input(evhttp_connection_get_bufferevent(con));
  }

  /// evhttp limits each head and body, but not the time, the number of interim
  /// responses, or a body that is passed on in pieces.
  static void watch(ActiveCall &call) {
    call.InputCallback =
        evbuffer_add_cb(inputOf(call.Connection), onInput, &call);
  }

  static void unwatch(ActiveCall &call) {
    evbuffer_remove_cb_entry(inputOf(call.Connection), call.InputCallback);
  }

  static void onInput(evbuffer *, const evbuffer_cb_info *info, void *arg) {
    auto *call = static_cast<ActiveCall *>(arg);
    if (info->n_added == 0 || !call->Self.isActive(*call))
      return;
    const bool first = call->Received == 0;
    const std::size_t limit = call->Call.MaxResponseBytes;
    const bool wasOver = call->Received > limit;
    call->Received += info->n_added;
    if (call->Received > limit && !wasOver)
      call->Self.endAfter(*call, Duration::zero(), HttpEnding::TooLarge);
    else if (first)
      call->Self.endAfter(*call, call->Call.Timeout, HttpEnding::TooSlow);
  }

  void endAfter(ActiveCall &call, Duration wait, HttpEnding ending) {
    call.Limit = Loop.after(wait, [this, &call, ending] { cut(call, ending); });
  }

  /// Closes the connection of a call whose response exceeds a limit.
  void cut(ActiveCall &call, HttpEnding ending) {
    if (!isActive(call))
      return;
    const auto action = std::move(call.Call.OnEnd);
    const HostPort address = call.Call.Address;
    const std::size_t received = call.Received;
    drop(call.Id);
    if (OnExcess)
      OnExcess(address, ending, received);
    if (action)
      action({.Ending = ending});
  }

  /// Ends a call without reporting it.
  void drop(HttpCallId id) {
    const auto it = Active.find(id);
    if (it == Active.end())
      return;
    evhttp_connection *con = it->second->Connection;
    unwatch(*it->second);
    CancelledCalls.push_back(std::move(it->second));
    Active.erase(it);
    discard(con);
  }

  void discard(evhttp_connection *con) {
    ClosedConnections.push_back(con);
    if (!FreeTimer)
      FreeTimer = Loop.after(Duration::zero(), [this] { freeClosed(); });
  }

  void freeClosed() {
    const auto connections = std::move(ClosedConnections);
    const auto calls = std::move(CancelledCalls);
    ClosedConnections.clear();
    CancelledCalls.clear();
    FreeTimer.reset();
    for (evhttp_connection *it : connections)
      evhttp_connection_free(it);
  }

  /// Removes an idle connection that the server has closed from the pool.
  static void onIdleClosed(evhttp_connection *con, void *arg) {
    auto *self = static_cast<Impl *>(arg);
    for (auto &[address, idle] : self->Idle)
      if (std::erase(idle, con) > 0)
        self->discard(con);
  }

  void returnToPool(const HttpCall &call, evhttp_connection *con,
                    bool reusable) {
    auto &idle = Idle[call.Address];
    if (!reusable || call.FreshConnection || idle.size() >= MaxIdleConnections)
      return discard(con);
    evhttp_connection_set_closecb(con, onIdleClosed, this);
    idle.push_back(con);
  }

  void finish(HttpCallId id, const HttpResponse &answer, bool reusable) {
    const auto it = Active.find(id);
    if (it == Active.end())
      return;
    const std::unique_ptr<ActiveCall> call = std::move(it->second);
    Active.erase(it);
    unwatch(*call);
    returnToPool(call->Call, call->Connection, reusable);
    if (call->Call.OnEnd)
      call->Call.OnEnd(answer);
  }

  bool isActive(const ActiveCall &call) const {
    const auto it = Active.find(call.Id);
    return it != Active.end() && it->second.get() == &call;
  }

  /// evhttp calls this only if a connection was established; after a failed
  /// connect the request ends without it.
  static void onError(evhttp_request_error, void *arg) {
    static_cast<ActiveCall *>(arg)->FailedWhenConnected = true;
  }

  static void onEnd(evhttp_request *req, void *arg) {
    auto *call = static_cast<ActiveCall *>(arg);
    Impl &self = call->Self;
    if (!self.isActive(*call))
      return;
    const int status = req ? evhttp_request_get_response_code(req) : 0;
    // evhttp takes any number, and interim responses other than 100 for final.
    if (status < StatusOk || status > LastStatus) {
      const bool unsent = req && status == 0 && !call->FailedWhenConnected;
      const HttpResponse answer{.Ending = unsent ? HttpEnding::NotSent
                                                 : HttpEnding::BrokeOff};
      return self.finish(call->Id, answer, false);
    }
    HttpResponse answer{.Ending = HttpEnding::Complete, .Status = status};
    answer.Body = std::move(call->ErrorBody) + takeBody(req);
    answer.Headers = headersOf(req);
    self.finish(call->Id, answer, !closesConnection(req));
  }

  static HttpHeaders headersOf(evhttp_request *req) {
    HttpHeaders result;
    const evkeyvalq *headers = evhttp_request_get_input_headers(req);
    for (const evkeyval *it = headers->tqh_first; it; it = it->next.tqe_next)
      result.push_back({it->key, it->value});
    return result;
  }

  static std::string takeBody(evhttp_request *req) {
    evbuffer *buf = evhttp_request_get_input_buffer(req);
    std::string bytes(evbuffer_get_length(buf), '\0');
    evbuffer_remove(buf, bytes.data(), bytes.size());
    return bytes;
  }

  static bool closesConnection(evhttp_request *req) {
    const char *value =
        evhttp_find_header(evhttp_request_get_input_headers(req), "Connection");
    return value && evutil_ascii_strcasecmp(value, "close") == 0;
  }

  static void onPiece(evhttp_request *req, void *arg) {
    auto *call = static_cast<ActiveCall *>(arg);
    const std::string bytes = takeBody(req);
    if (!call->Self.isActive(*call))
      return;
    if (evhttp_request_get_response_code(req) != StatusOk) {
      call->ErrorBody += bytes;
      return;
    }
    // The callback may cancel the call; the copy keeps the callback alive.
    const auto action = call->Call.OnPiece;
    action(bytes);
  }
};

HttpClient::HttpClient(EventLoop &loop) : State(new Impl{loop}) {}

HttpClient::~HttpClient() {
  State->freeClosed();
  for (const auto &[id, call] : State->Active)
    evhttp_connection_free(call->Connection);
  for (auto &[address, idle] : State->Idle)
    for (evhttp_connection *it : idle) {
      // Otherwise evhttp_connection_free() would call onIdleClosed(), which
      // changes the list during the iteration.
      evhttp_connection_set_closecb(it, nullptr, nullptr);
      evhttp_connection_free(it);
    }
}

HttpCallId HttpClient::start(HttpCall call) {
  const HttpCallId id = ++State->LastId;
  evhttp_connection *con = State->takeConnection(call);
  const timeval tv{static_cast<time_t>(call.Timeout.count() / 1'000'000),
                   static_cast<suseconds_t>(call.Timeout.count() % 1'000'000)};
  evhttp_connection_set_timeout_tv(con, &tv);
  auto owned = std::unique_ptr<Impl::ActiveCall>(
      new Impl::ActiveCall{*State, id, std::move(call), con});
  Impl::ActiveCall *active = owned.get();
  State->Active.emplace(id, std::move(owned));
  Impl::watch(*active);
  evhttp_request *req = evhttp_request_new(Impl::onEnd, active);
  evhttp_request_set_error_cb(req, Impl::onError);
  if (active->Call.OnPiece)
    evhttp_request_set_chunked_cb(req, Impl::onPiece);
  evkeyvalq *headers = evhttp_request_get_output_headers(req);
  evhttp_add_header(headers, "Host", active->Call.Address.Ip.c_str());
  for (const HttpHeader &it : active->Call.Headers)
    evhttp_add_header(headers, it.Name.c_str(), it.Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(req), active->Call.Body.data(),
               active->Call.Body.size());
  const evhttp_cmd_type method = methodOf(active->Call.Method);
  const std::string path = active->Call.Path;
  evhttp_make_request(con, req, method, path.c_str());
  return id;
}

void HttpClient::cancel(HttpCallId id) { State->drop(id); }

void HttpClient::setExcessObserver(ExcessObserver observer) {
  State->OnExcess = std::move(observer);
}

} // namespace pimentofront
