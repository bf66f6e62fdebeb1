#ifndef PIMENTOFRONT_FORWARD_ACCOUNT_CONTROLLER_H
#define PIMENTOFRONT_FORWARD_ACCOUNT_CONTROLLER_H

#include "ForwardBoard.h"

namespace pimentofront {

/// Whether a request is admitted by its key.
enum class KeyStatus : std::uint8_t {
  /// Its client account is known, or the request needs none.
  Known,
  /// No account holds the key, according to the newest configuration.
  Unknown,
  /// No account holds the key, according to a configuration that may not be the
  /// newest.
  Undecided,
  /// The configuration is too old to tell whether the key is still valid.
  Outdated,
};

/// \class AccountController
/// \ingroup Forward
/// \brief Identifies a request's client account, and decides whether the
/// account may still send.
///
/// A key is checked once, when the request has arrived, against the table that
/// the request keeps. A request that was admitted before its key was revoked is
/// served to the end, bounded by the request's own deadline. "No account holds
/// the key" is a statement about the newest configuration, so it is made only
/// with a confirmed copy of the configuration. A key in the copy is accepted
/// for the revocation bound after the copy was confirmed, even if the process
/// was partitioned, stalled or suspended in between.
///
/// The units of the allotment are taken before any agent or server is asked,
/// because a refusal costs least there.
class AccountController {
public:
  explicit AccountController(ForwardBoard &board) : Board(board) {}

  /// Finds the account of a request whose route is known.
  KeyStatus identify(TimePoint now, ForwardRequest &request);
  /// Takes the request's units.
  /// \returns whether it may proceed; if not, a decision comes by onGrants().
  bool charge(TimePoint now, ForwardRequest &request);
  std::vector<AllotmentDecision> onGrants(TimePoint now,
                                          const AllotmentGrants &grants);
  /// A request is being sent to a server.
  void onSend(TimePoint now, ForwardRequest &request);
  /// A server has run the request, or may have.
  void onMayHaveRun(ForwardRequest &request);
  /// The request ends; units that weren't spent become available again.
  void onFinished(TimePoint now, ForwardRequest &request);

  /// \returns whether no newer configuration can have been in force for longer
  /// than the confirmation lease, and the newest known one can be read here.
  bool knowsNewest(TimePoint now) const;
  /// \returns whether requests with keys can be served for a while longer.
  bool ready(TimePoint now) const;

private:
  /// \returns whether a key in the copy of the configuration may still be
  /// accepted.
  bool mayAcceptKeys(TimePoint now) const;
  double unitsOf(const ForwardRequest &request) const;

  ForwardBoard &Board;
};

} // namespace pimentofront

#endif
