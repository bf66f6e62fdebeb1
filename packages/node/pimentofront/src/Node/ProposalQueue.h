#ifndef PIMENTOFRONT_NODE_PROPOSAL_QUEUE_H
#define PIMENTOFRONT_NODE_PROPOSAL_QUEUE_H

#include "LeaderLink.h"

#include <functional>
#include <map>

namespace pimentofront {

/// \class ProposalQueue
/// \ingroup Node
/// \brief Sends commands to the leader of the replicas in order, repeats them
/// when the leader changes or doesn't answer, and gives them up at their
/// deadline.
///
/// A command may therefore be decided twice, so it must be one whose repetition
/// the replicated state recognises. The link to the leader is opened only when
/// there is something to send.
class ProposalQueue {
public:
  /// Receives the outcome of a command, or nothing if it is unknown.
  using Callback =
      std::function<void(TimePoint, const std::optional<CommandOutcome> &)>;

  /// \param transport and \p leader outlive the queue.
  ProposalQueue(Transport &transport, LeaderLink &leader)
      : Network(transport), Leader(leader) {}

  /// Adds a command for the replicas to decide. \p done is called once.
  void add(const Command &command, TimePoint proposeUntil, Callback done);
  /// Sends the commands that were not sent on the current link, or were sent
  /// too long ago.
  void send(TimePoint now);
  void onReply(TimePoint now, const ProposeReply &reply);
  /// The connected replica is not the leader.
  void onRedirect(TimePoint now, const NotLeader &redirect);
  /// Gives up commands whose outcome is still unknown at their deadline, and
  /// sends the others that are due.
  void tick(TimePoint now);
  bool empty() const { return Proposals.empty(); }

private:
  struct Proposal {
    Command Content;
    TimePoint ProposeUntil;
    /// Link on which the command was sent last, and when.
    LinkId SentOn = 0;
    TimePoint SentAt;
    Callback Done;
  };
  void end(TimePoint now, std::uint64_t nonce,
           const std::optional<CommandOutcome> &outcome);

  Transport &Network;
  LeaderLink &Leader;
  std::uint64_t LastNonce = 0;
  /// By nonce, that is, in the order in which they were added.
  std::map<std::uint64_t, Proposal> Proposals;
};

} // namespace pimentofront

#endif
