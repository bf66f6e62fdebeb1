#ifndef PIMENTOFRONT_FORWARD_STREAM_ORIGIN_CONTROLLER_H
#define PIMENTOFRONT_FORWARD_STREAM_ORIGIN_CONTROLLER_H

#include "ForwardBoard.h"

namespace pimentofront {

/// What is known of the software version that has to go on with a stream.
enum class OriginDecision : std::uint8_t {
  /// Any server may run the request, or its RequiredSoftware is set.
  Decided,
  /// Agents and replicas have been asked.
  Asked,
  /// Nobody knows at which version the stream began.
  Unknown,
  /// No server is registered for the service.
  NoServer,
  /// The replicas' record of the service's versions hasn't arrived yet.
  AwaitsRecord,
};

/// \class StreamOriginController
/// \ingroup Forward
/// \brief Finds out at which software version of the backend servers a stream
/// began, so that only this version goes on with it.
///
/// What two versions write doesn't fit together, and servers don't check it. An
/// entry knows the streams that it began. It also tells three agents of each
/// stream: the one beside the server, and the first two in the rendezvous order
/// of the stream's adapter, which all entries derive alike. An entry to which a
/// caller comes back asks the first agents of that order, so that the entry
/// that began the stream may be gone. While several versions are registered for
/// a service all replicas are told as well, which survives the loss of the
/// agents; they are asked in any case.
///
/// Which versions may have begun a service's streams is recorded by the
/// replicas, too (SoftwareRecord), so that it outlives all entries. An entry
/// that has just started waits for this record before it goes on with a stream
/// that nobody knows. Agents and replicas are asked although the record has one
/// version: they may know a stream of one that couldn't be recorded.
///
/// When a second version appears, the entry tells agents and replicas of its
/// running streams; a server of the second version gets no stream from an entry
/// that doesn't know it yet. Agents are asked although one version is
/// registered, since this entry may have missed one, or have started after it
/// had gone. If they know nothing either, the request goes on at the only
/// version.
///
/// Invariant: a request that resumes a stream is sent only if its
/// RequiredSoftware is set, or if the servers state no version.
class StreamOriginController {
public:
  explicit StreamOriginController(ForwardBoard &board) : Board(board) {}

  /// Decides at which version the request may run; asks others if necessary.
  OriginDecision decide(TimePoint now, ForwardRequest &request);
  /// The first event of the request's attempt has arrived.
  void recordFirstEvent(TimePoint now, ForwardRequest &request);
  /// The registered servers have changed.
  void onServersChanged(TimePoint now);
  /// \returns the requests that can be decided now.
  std::vector<std::uint64_t> onReply(TimePoint now, const HostName &agent,
                                     const StreamOriginReply &reply);
  /// The same of the replica at \p address.
  std::vector<std::uint64_t> onReplicaReply(TimePoint now,
                                            const std::string &address,
                                            const StreamOriginReply &reply);
  /// The agent doesn't answer any more.
  /// \returns the requests that can be decided now.
  std::vector<std::uint64_t> onAgentLost(const HostName &agent);
  /// The replica at \p address doesn't answer any more.
  /// \returns the requests that can be decided now.
  std::vector<std::uint64_t> onReplicaLost(const std::string &address);
  /// \returns the requests that weren't answered in time, which can be decided
  /// now.
  std::vector<std::uint64_t> takeOverdue(TimePoint now);
  /// \returns whether several versions may have begun the service's streams.
  bool isMixed(TimePoint now, const ServiceName &service) const;
  /// \returns whether that holds for any service.
  bool isAnyMixed(TimePoint now) const;

private:
  /// \returns whether servers of several versions have been registered with
  /// this entry.
  bool hasSeenMixed(TimePoint now, const ServiceName &service) const;
  /// \returns the first \p n agents for the request, whose stream \p stream
  /// is.
  std::vector<const MemberView *> holders(const ForwardRequest &request,
                                          const RequestId &stream,
                                          std::size_t n) const;
  void ask(TimePoint now, ForwardRequest &request);
  /// Tells the agents of the request's stream.
  void publish(TimePoint now, const ForwardRequest &request);
  void publish(const ForwardRequest &request, const StreamOrigin &origin);
  void send(const MemberView &agent, Message message);
  /// Records who knew the version, and what this entry knew of the service.
  void recordDecision(TimePoint now, const ForwardRequest &request,
                      const std::set<std::string> &registered,
                      OriginSource source);
  /// An agent or a replica, by its host or address, has answered.
  std::vector<std::uint64_t> onReply(TimePoint now, OriginSource source,
                                     const std::string &name,
                                     const StreamOriginReply &reply);
  /// It won't tell the origin of any stream.
  std::vector<std::uint64_t> onLost(OriginSource source,
                                    const std::string &name);
  /// Notes that it won't tell the origin of the stream asked about.
  /// \returns whether nobody else is left to answer.
  static bool removeAsked(OriginQuery &query, OriginSource source,
                          const std::string &name);

  ForwardBoard &Board;
};

} // namespace pimentofront

#endif
