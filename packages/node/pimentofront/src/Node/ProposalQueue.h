#ifndef PIMENTOFRONT_NODE_PROPOSAL_QUEUE_H
#define PIMENTOFRONT_NODE_PROPOSAL_QUEUE_H

#include "LeaderLink.h"

#include <functional>
#include <map>

namespace pimentofront {

/// \class ProposalQueue
/// \ingroup Node
/// \brief Commands on their way to the leader of the replicas: sent in order,
/// sent again when the leader changes or says nothing, given up in time.
///
/// A command may so be decided twice: it must be one that the replicated state
/// recognises. Opens the link to the leader only when there is something to
/// say.
class ProposalQueue {
public:
  /// What became of a command; empty when nothing is known.
  using Callback =
      std::function<void(TimePoint, const std::optional<CommandOutcome> &)>;

  /// \param transport and \p leader outlive the queue.
  ProposalQueue(Transport &transport, LeaderLink &leader)
      : Network(transport), Leader(leader) {}

  /// Has the replicated state decide on \p command. \p done is called once.
  void add(const Command &command, TimePoint giveUpAt, Callback done);
  /// Sends what hasn't been sent on the present link, or long ago.
  void send(TimePoint now);
  void onReply(TimePoint now, const ProposeReply &reply);
  /// The replica there doesn't lead.
  void onRedirect(TimePoint now, const NotLeader &redirect);
  /// Gives up what nothing is known of in time.
  void tick(TimePoint now);
  bool empty() const { return Proposals.empty(); }

private:
  struct Proposal {
    Command Content;
    TimePoint ProposeUntil;
    /// Link on which it was sent last, and when.
    LinkId SentOn = 0;
    TimePoint SentAt;
    Callback Done;
  };
  void end(TimePoint now, std::uint64_t nonce,
           const std::optional<CommandOutcome> &outcome);

  Transport &Network;
  LeaderLink &Leader;
  std::uint64_t LastNonce = 0;
  /// By nonce: in the order in which they were added.
  std::map<std::uint64_t, Proposal> Proposals;
};

} // namespace pimentofront

#endif
