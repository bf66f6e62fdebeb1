#include "pimentofront/Node.h"

namespace pimentofront {
namespace {

/// Time after which a proposal without a reply is sent again.
constexpr Duration ResendPeriod = std::chrono::milliseconds(500);

} // namespace

void ProposalQueue::add(const Command &command, TimePoint proposeUntil,
                        Callback done) {
  Proposals[++LastNonce] = {.Content = command,
                            .ProposeUntil = proposeUntil,
                            .Done = std::move(done)};
}

void ProposalQueue::send(TimePoint now) {
  if (Proposals.empty())
    return;
  const auto link = Leader.link(now);
  if (!link)
    return;
  for (auto &[nonce, it] : Proposals) {
    if (it.SentOn == *link && now < it.SentAt + ResendPeriod)
      continue;
    it.SentOn = *link;
    it.SentAt = now;
    Network.send(*link, Propose{nonce, it.Content});
  }
}

void ProposalQueue::end(TimePoint now, std::uint64_t nonce,
                        const std::optional<CommandOutcome> &outcome) {
  const Callback done = std::move(Proposals.at(nonce).Done);
  Proposals.erase(nonce);
  if (done)
    done(now, outcome);
}

void ProposalQueue::onReply(TimePoint now, const ProposeReply &reply) {
  // Undecided commands are sent again.
  if (reply.Decided && Proposals.contains(reply.Nonce))
    end(now, reply.Nonce, reply.Outcome);
}

void ProposalQueue::onRedirect(TimePoint now, const NotLeader &redirect) {
  Leader.onRedirect(now, redirect.LeaderAddress);
  send(now);
}

void ProposalQueue::tick(TimePoint now) {
  std::vector<std::uint64_t> expired;
  for (const auto &[nonce, it] : Proposals)
    if (now >= it.ProposeUntil)
      expired.push_back(nonce);
  for (const std::uint64_t it : expired)
    end(now, it, std::nullopt);
  send(now);
}

} // namespace pimentofront
