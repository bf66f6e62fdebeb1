#ifndef PIMENTOFRONT_FORWARD_ACCOUNT_CONTROLLER_H
#define PIMENTOFRONT_FORWARD_ACCOUNT_CONTROLLER_H

#include "ForwardBoard.h"

namespace pimentofront {

/// Whether a request may come in, by its key.
enum class KeyVerdict : std::uint8_t {
  /// Its client account is known, or nobody needs one.
  Known,
  /// No account holds the key, by the newest configuration.
  Unknown,
  /// No account holds the key, by a configuration that may not be the newest.
  Undecided,
  /// The configuration is too old to tell whether the key still holds.
  Outdated,
};

/// \class AccountController
/// \ingroup Forward
/// \brief Whose a request is, and whether its client account may still send.
///
/// A key is looked at once, when the request has come in, in the table that the
/// request keeps. Who came in before a key was taken away is served to the end:
/// a bound on that is the request's own deadline. "No account holds the key" is
/// a claim about the newest configuration, and only a copy that is confirmed
/// makes it. That a key still holds is relied on for a revocation bound after
/// the copy was confirmed, also where the process was cut off, frozen or
/// suspended in between.
///
/// The units of the allotment are taken before any agent or server is asked,
/// which is where a refusal costs least.
class AccountController {
public:
  explicit AccountController(ForwardBoard &board) : Board(board) {}

  /// Finds the account of a request whose route is known.
  KeyVerdict identify(TimePoint now, ForwardRequest &request);
  /// Takes the request's units.
  /// \returns whether it may go on; if not, a decision comes by onGrants().
  bool charge(TimePoint now, ForwardRequest &request);
  std::vector<AllotmentDecision> onGrants(TimePoint now,
                                          const AllotmentGrants &grants);
  /// A request is being sent to a server.
  void onSend(TimePoint now, ForwardRequest &request);
  /// A server has run the request, or may have.
  void onMayHaveRun(ForwardRequest &request);
  /// The request ends; units that weren't spent are free again.
  void onFinished(TimePoint now, ForwardRequest &request);

  /// \returns whether the copy of the configuration is surely the newest, but
  /// for what came within its lease.
  bool knowsNewest(TimePoint now) const;
  /// \returns whether requests with keys can be served for a while yet.
  bool ready(TimePoint now) const;

private:
  /// \returns whether a key that the copy of the configuration holds may still
  /// be served.
  bool mayHold(TimePoint now) const;
  double unitsOf(const ForwardRequest &request) const;

  ForwardBoard &Board;
};

} // namespace pimentofront

#endif
