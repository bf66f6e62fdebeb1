#ifndef PIMENTOFRONT_NET_PEER_NETWORK_H
#define PIMENTOFRONT_NET_PEER_NETWORK_H

#include "EventLoop.h"
#include "pimentofront/Node.h"

namespace pimentofront {

/// \class HybridClock
/// \ingroup Net
/// \brief Stamps that agree with the order of messages (Kulkarni et al., 2014).
class HybridClock {
public:
  /// \returns a stamp later than all that were given or seen.
  HybridTime tick(std::uint64_t wallMilliseconds);
  /// Takes note of the stamp of a message that arrived.
  void observe(HybridTime seen, std::uint64_t wallMilliseconds);

private:
  HybridTime Last = 0;
};

/// \class PeerNetworkOptions
/// \ingroup Net
struct PeerNetworkOptions {
  HostPort Listen;
  Hello Self;
  /// A link whose other side takes nothing is ended at this many bytes.
  std::size_t MaxUnsentBytes = std::size_t(32) << 20;
  /// How long a link may take to come about.
  Duration ConnectTimeout = std::chrono::seconds(2);
};

/// \class PeerNetwork
/// \ingroup Net
/// \brief Links to other processes of the system, made on demand.
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
  /// Ends all links; the handler learns of each.
  void closeAll();
  /// The greeting of links to come names another disk.
  void setReplica(std::uint64_t identity);
  HybridClock &clock();
  /// \returns bytes of frames sent and received, for the budget of control.
  std::uint64_t bytesSent() const;
  std::uint64_t bytesReceived() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace pimentofront

#endif
