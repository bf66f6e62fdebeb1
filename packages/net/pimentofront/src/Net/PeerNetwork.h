#ifndef PIMENTOFRONT_NET_PEER_NETWORK_H
#define PIMENTOFRONT_NET_PEER_NETWORK_H

#include "EventLoop.h"
#include "pimentofront/Node.h"

namespace pimentofront {

/// \class HybridClock
/// \ingroup Net
/// \brief Hybrid logical clock (Kulkarni et al., 2014): its timestamps are
/// consistent with the order of messages.
class HybridClock {
public:
  /// \returns a timestamp later than all that were returned or observed.
  HybridTime tick(std::uint64_t wallMilliseconds);
  /// Takes the timestamp of a received message into account, unless it is more
  /// than a minute ahead of \p wallMilliseconds.
  void observe(HybridTime seen, std::uint64_t wallMilliseconds);

private:
  HybridTime Last = 0;
};

/// \class PeerNetworkOptions
/// \ingroup Net
struct PeerNetworkOptions {
  HostPort Listen;
  Hello Self;
  /// A link with more unsent bytes than this is closed, since its peer doesn't
  /// read.
  std::size_t MaxUnsentBytes = std::size_t(32) << 20;
  /// Limit on opening a link, from connecting to the peer's Hello.
  Duration ConnectTimeout = std::chrono::seconds(2);
  /// Number of accepted links without a Hello above which the oldest of them is
  /// closed; 0 sets no bound.
  std::size_t MaxUnidentified = 0;
};

/// \class PeerNetwork
/// \ingroup Net
/// \brief Links to other processes of the system, opened on demand.
class PeerNetwork : public Transport {
public:
  /// \throws std::runtime_error when the address can't be bound.
  PeerNetwork(EventLoop &loop, const PeerNetworkOptions &options,
              PeerHandler &handler);
  ~PeerNetwork() override;
  PeerNetwork(const PeerNetwork &) = delete;
  PeerNetwork &operator=(const PeerNetwork &) = delete;

  LinkId open(const std::string &address,
              LinkPurpose purpose = LinkPurpose::General) override;
  void send(LinkId link, const Message &message) override;
  void close(LinkId link) override;
  /// Closes all links and reports each to the handler.
  void closeAll();
  /// Sets the identity of the disk that Hello announces on future links.
  void setReplica(std::uint64_t identity);
  HybridClock &clock();
  /// \p observer is told of each link that is closed or refused for want of
  /// room.
  void setShedObserver(std::function<void(ShedReason)> observer);
  /// \returns the bytes of frames sent and received, to check the budget for
  /// control traffic.
  std::uint64_t bytesSent() const;
  std::uint64_t bytesReceived() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace pimentofront

#endif
