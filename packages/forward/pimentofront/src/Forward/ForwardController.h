#ifndef PIMENTOFRONT_FORWARD_FORWARD_CONTROLLER_H
#define PIMENTOFRONT_FORWARD_FORWARD_CONTROLLER_H

#include "AnswerController.h"

namespace pimentofront {

/// \class ForwardController
/// \ingroup Forward
/// \brief All decisions of an entry about requests that are passed on as they
/// are. The shell tells it what happened and carries out the commands.
class ForwardController {
public:
  /// \param configuration, \p codec and \p routing outlive the controller.
  ForwardController(const ForwardOptions &options,
                    const ConfigurationView &configuration,
                    const HeaderCodec &codec, RoutingPolicy &routing);

  /// A new routing document is in force.
  void setTable(std::shared_ptr<const RoutingTable> table);
  void onMembers(TimePoint now, const MemberUpdate &update);
  /// These zones are evacuated, by the configuration in force.
  void onEvacuatedZones(TimePoint now, std::set<ZoneName> zones);
  /// So many entries share the budget of further sends, and the connections
  /// to each backend server.
  void onEntries(TimePoint now, std::uint32_t entries);

  /// A request has arrived whole; \p bodyHash stands for its body. \p key names
  /// it until its answer has ended.
  void onRequest(TimePoint now, std::uint64_t key, RequestHead head,
                 std::string body, const ContentHash &bodyHash);
  /// The caller has closed its connection.
  void onCallerGone(TimePoint now, std::uint64_t key);

  /// \returns whether it is known which zones are evacuated, and will be for a
  /// while yet.
  bool knowsZones(TimePoint now) const;
  QuarantineController &quarantine() { return Quarantine; }
  AccountController &accounts() { return Accounts; }
  /// The newest routing document can't be read here.
  void setTableOutdated() { Board.TableOutdated = true; }
  /// \returns whether there may be something to tell it.
  bool wantsAllotmentReport(TimePoint now) const {
    return Board.Leases.wantsReport(now);
  }
  /// \returns what to tell the leader of the replicas on allotments.
  std::optional<AllotmentReport> takeAllotmentReport(TimePoint now) {
    return Board.Leases.takeReport(now);
  }
  /// The leader has answered a report.
  void onAllotmentGrants(TimePoint now, const AllotmentGrants &grants);
  bool wantsPermitQuery() const { return Board.Permits.wantsQuery(); }
  /// \returns what to ask the leader for sends to limited servers.
  std::vector<SendPermitQuery> takePermitQueries() {
    return Board.Permits.takeQueries();
  }
  /// The leader has answered a query.
  void onSendPermit(TimePoint now, const SendPermitReply &reply);
  /// The link to the leader has ended.
  void onLedgerLinkLost(TimePoint now) {
    Board.Leases.onLinkLost();
    Board.Permits.onLinkLost(now);
  }
  /// \returns whether the leader has left a question unanswered for too long.
  bool ledgerUnanswered(TimePoint now) const {
    return Board.Leases.unanswered(now) || Board.Permits.unanswered(now);
  }
  /// The replicas have decided on a question, or haven't in time.
  void onDecision(TimePoint now, std::uint64_t nonce,
                  const std::optional<CommandOutcome> &outcome);
  /// A server whose answer had broken off was looked at.
  void onServerChecked(TimePoint now, const ServerProcess &server,
                       ServerLife life);

  AttemptController &attempts() { return Attempts; }
  AnswerController &answers() { return Answers; }
  /// Looks at time limits; to be called every some ten milliseconds.
  void tick(TimePoint now);

  std::vector<ForwardCommand> takeCommands();
  std::vector<ForwardEvent> takeEvents();
  bool idle() const { return Board.Requests.empty(); }
  const ForwardBoard &board() const { return Board; }

private:
  void resolve(TimePoint now, ForwardRequest &request);
  /// Lets the request in by its key and its account's allotment, and sends it.
  void admit(TimePoint now, ForwardRequest &request);
  /// The request has waited for its units for too long.
  bool waitsTooLong(TimePoint now, const ForwardRequest &request) const;
  /// Keeps a request whose route can't be told yet: no configuration is known,
  /// or it isn't known to be the newest.
  void holdUnresolved(TimePoint now, ForwardRequest &request);
  /// Tries held requests again.
  void retryHeld(TimePoint now);
  /// The agent hasn't said anything for too long.
  bool isSilent(TimePoint now, const ForwardRequest &request) const;
  /// The server's host has gone, by all that is known of it.
  bool isLost(TimePoint now, const ForwardRequest &request) const;

  ForwardBoard Board;
  AccountController Accounts;
  HoldController Holds;
  QuarantineController Quarantine;
  ContentHasher Hasher;
  AttemptController Attempts;
  AnswerController Answers;
};

} // namespace pimentofront

#endif
