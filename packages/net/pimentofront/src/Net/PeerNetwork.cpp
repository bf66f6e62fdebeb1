#include "pimentofront/Net.h"

#include "detail/WebSocketPeer.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <set>
#include <stdexcept>
#include <unordered_map>

namespace pimentofront {
namespace {

/// Pause before links are accepted again after a failure, which is mostly a
/// lack of descriptors.
constexpr Duration AcceptPause = std::chrono::milliseconds(100);

} // namespace

HybridTime HybridClock::tick(std::uint64_t wallMilliseconds) {
  constexpr unsigned CounterBits = 16;
  Last = std::max(Last + 1, wallMilliseconds << CounterBits);
  return Last;
}

void HybridClock::observe(HybridTime seen, std::uint64_t wallMilliseconds) {
  constexpr unsigned CounterBits = 16;
  // A peer whose clock is far ahead must not advance this clock.
  constexpr std::uint64_t MaxLeadMilliseconds = 60'000;
  const HybridTime limit = (wallMilliseconds + MaxLeadMilliseconds)
                           << CounterBits;
  if (seen <= limit)
    Last = std::max(Last, seen);
}

struct PeerNetwork::Impl {
  struct Link : detail::WebSocketHandler {
    Link(Impl &self, LinkId id) : Self(self), Id(id) {}
    void onOpen() override { Self.transportOpen(*this); }
    void onFrame(const std::string &bytes) override {
      Self.frameArrived(*this, bytes);
    }
    void onClosed() override { Self.onClosedLink(Id); }

    Impl &Self;
    LinkId Id;
    std::unique_ptr<detail::WebSocketPeer> Socket;
    std::vector<std::string> Waiting;
    bool Accepted = false;
    LinkPurpose Purpose = LinkPurpose::General;
    bool HelloReceived = false;
    bool Closed = false;
    std::unique_ptr<Timer> ConnectTimer;
  };

  EventLoop &Loop;
  PeerNetworkOptions Options;
  PeerHandler &Handler;
  evconnlistener *Listener = nullptr;
  LinkId LastId = 0;
  std::unordered_map<LinkId, std::unique_ptr<Link>> Links;
  /// Accepted links without a Hello; the lowest id is the oldest.
  std::set<LinkId> Unidentified;
  std::unique_ptr<Timer> AcceptTimer;
  std::function<void(ShedReason)> OnShed;
  /// Links close inside their own callbacks, so they are freed in the next
  /// iteration of the event loop.
  std::vector<std::unique_ptr<Link>> ClosedLinks;
  std::unique_ptr<Timer> FreeTimer;
  HybridClock Clock;
  std::uint64_t Sent = 0;
  std::uint64_t Received = 0;

  Link &addLink() {
    const LinkId id = ++LastId;
    auto link = std::make_unique<Link>(*this, id);
    Link &result = *link;
    result.ConnectTimer =
        Loop.after(Options.ConnectTimeout, [this, id] { onClosedLink(id); });
    Links.emplace(id, std::move(link));
    return result;
  }

  static void onAccept(evconnlistener *, evutil_socket_t fd, sockaddr *, int,
                       void *arg) {
    auto *self = static_cast<Impl *>(arg);
    self->makeRoom();
    setSocketOptions(fd);
    bufferevent *bev =
        bufferevent_socket_new(self->Loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    Link &link = self->addLink();
    link.Accepted = true;
    self->Unidentified.insert(link.Id);
    link.Socket = detail::acceptWebSocket(bev, link);
  }

  /// Without a pause, the event loop would call this again at once for as long
  /// as there is no descriptor.
  static void onAcceptError(evconnlistener *listener, void *arg) {
    auto *self = static_cast<Impl *>(arg);
    evconnlistener_disable(listener);
    self->shed(ShedReason::NoDescriptor);
    self->AcceptTimer = self->Loop.after(
        AcceptPause, [listener] { evconnlistener_enable(listener); });
  }

  /// Closes the oldest link without a Hello if there are too many of them.
  void makeRoom() {
    if (Options.MaxUnidentified == 0 ||
        Unidentified.size() < Options.MaxUnidentified)
      return;
    const LinkId id = *Unidentified.begin();
    // Its descriptor is needed now. None of its callbacks is running, since a
    // link is accepted in a callback of the listener.
    Links.at(id)->Socket.reset();
    shed(ShedReason::Displaced);
    onClosedLink(id);
  }

  void shed(ShedReason reason) const {
    if (OnShed)
      OnShed(reason);
  }

  LinkId openLink(const std::string &address, LinkPurpose purpose) {
    const std::optional<HostPort> parsed = HostPort::parse(address);
    Link &link = addLink();
    link.Purpose = purpose;
    const LinkId id = link.Id;
    if (!parsed) {
      link.ConnectTimer =
          Loop.after(Duration::zero(), [this, id] { onClosedLink(id); });
      return id;
    }
    const evutil_socket_t fd =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setSocketOptions(fd);
    bufferevent *bev =
        bufferevent_socket_new(Loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    link.Socket = detail::openWebSocket(bev, address, link);
    const sockaddr_in to = toSocketAddress(*parsed);
    bufferevent_socket_connect(bev, reinterpret_cast<const sockaddr *>(&to),
                               sizeof(to));
    return id;
  }

  void transportOpen(Link &link) {
    Hello self = Options.Self;
    self.Accepted = link.Accepted;
    if (!link.Accepted && link.Purpose != LinkPurpose::Replication)
      self.Replica = 0;
    transmit(link, encode(self));
  }

  /// Only Hello is sent before the peer's Hello has arrived. So a link that
  /// never opened has certainly carried no other message.
  void onHello(Link &link, const Hello &hello) {
    link.HelloReceived = true;
    link.ConnectTimer.reset();
    Unidentified.erase(link.Id);
    link.Socket->allowLargeFrames();
    const std::vector<std::string> waiting = std::exchange(link.Waiting, {});
    for (const std::string &it : waiting)
      transmit(link, it);
    Handler.onLinkOpen(link.Id, hello);
  }

  std::string encode(const Message &message) {
    return encodeFrame({Clock.tick(Loop.wallMilliseconds()), message});
  }

  void transmit(Link &link, const std::string &bytes) {
    Sent += bytes.size();
    link.Socket->send(bytes);
    if (link.Socket->unsentBytes() > Options.MaxUnsentBytes)
      closeLater(link.Id);
  }

  void frameArrived(Link &link, const std::string &bytes) {
    if (link.Closed)
      return;
    Received += bytes.size();
    const auto frame = decodeFrame(bytes);
    if (!frame)
      return closeLater(link.Id);
    Clock.observe(frame->SentAt, Loop.wallMilliseconds());
    if (link.HelloReceived)
      return Handler.onMessage(link.Id, frame->Content);
    const auto *hello = std::get_if<Hello>(&frame->Content);
    if (!hello || hello->Protocol > ProtocolVersion)
      return closeLater(link.Id);
    onHello(link, *hello);
  }

  /// Closes a link from inside a callback of its socket.
  void closeLater(LinkId id) {
    const auto it = Links.find(id);
    if (it == Links.end() || it->second->Closed)
      return;
    it->second->Closed = true;
    it->second->ConnectTimer =
        Loop.after(Duration::zero(), [this, id] { onClosedLink(id); });
  }

  void onClosedLink(LinkId id) {
    if (removeLink(id))
      Handler.onLinkClosed(id);
  }

  bool removeLink(LinkId id) {
    const auto it = Links.find(id);
    if (it == Links.end())
      return false;
    it->second->Closed = true;
    Unidentified.erase(id);
    ClosedLinks.push_back(std::move(it->second));
    Links.erase(it);
    if (!FreeTimer)
      FreeTimer = Loop.after(Duration::zero(), [this] { freeClosed(); });
    return true;
  }

  void freeClosed() {
    const auto closed = std::move(ClosedLinks);
    ClosedLinks.clear();
    FreeTimer.reset();
  }
};

PeerNetwork::PeerNetwork(EventLoop &loop, const PeerNetworkOptions &options,
                         PeerHandler &handler)
    : State(new Impl{loop, options, handler}) {
  constexpr int Backlog = 1024;
  const sockaddr_in address = toSocketAddress(options.Listen);
  State->Listener = evconnlistener_new_bind(
      loop.base(), Impl::onAccept, State.get(),
      LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
      Backlog, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
  if (!State->Listener)
    throw std::runtime_error("can't listen for peers on " + options.Listen.Ip +
                             ":" + std::to_string(options.Listen.Port));
}

PeerNetwork::~PeerNetwork() { evconnlistener_free(State->Listener); }

LinkId PeerNetwork::open(const std::string &address, LinkPurpose purpose) {
  return State->openLink(address, purpose);
}

void PeerNetwork::send(LinkId link, const Message &message) {
  const auto it = State->Links.find(link);
  if (it == State->Links.end() || it->second->Closed)
    return;
  const std::string bytes = State->encode(message);
  if (it->second->HelloReceived)
    return State->transmit(*it->second, bytes);
  it->second->Waiting.push_back(bytes);
}

void PeerNetwork::close(LinkId link) { State->removeLink(link); }
void PeerNetwork::closeAll() {
  std::vector<LinkId> all;
  for (const auto &[id, it] : State->Links)
    all.push_back(id);
  for (const LinkId it : all)
    State->onClosedLink(it);
}

void PeerNetwork::setReplica(std::uint64_t identity) {
  State->Options.Self.Replica = identity;
}

void PeerNetwork::setShedObserver(std::function<void(ShedReason)> observer) {
  State->OnShed = std::move(observer);
}

HybridClock &PeerNetwork::clock() { return State->Clock; }
std::uint64_t PeerNetwork::bytesSent() const { return State->Sent; }
std::uint64_t PeerNetwork::bytesReceived() const { return State->Received; }

} // namespace pimentofront
