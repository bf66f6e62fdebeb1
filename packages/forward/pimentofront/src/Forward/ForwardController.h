#ifndef PIMENTOFRONT_FORWARD_FORWARD_CONTROLLER_H
#define PIMENTOFRONT_FORWARD_FORWARD_CONTROLLER_H

#include "AnswerController.h"

namespace pimentofront {

/// \class ForwardController
/// \ingroup Forward
/// \brief Makes all of an entry's decisions about requests that are forwarded
/// unchanged. Does no I/O: the node reports events and executes the commands.
class ForwardController {
public:
  /// \param configuration, \p codec and \p routing outlive the controller.
  ForwardController(const ForwardOptions &options,
                    const ConfigurationView &configuration,
                    const HeaderCodec &codec, RoutingPolicy &routing);

  /// A new routing document is in force.
  void setTable(std::shared_ptr<const RoutingTable> table);
  void onMembers(TimePoint now, const MemberUpdate &update);
  /// These zones are evacuated, according to the configuration in force.
  void onEvacuatedZones(TimePoint now, std::set<ZoneName> zones);
  /// Sets the number of entries that share the retry budget and the connections
  /// to each backend server.
  void onEntryCount(TimePoint now, std::uint32_t entries);

  /// A request has been received completely; \p bodyHash is the hash of its
  /// body. \p key identifies it until its answer has ended.
  void onRequest(TimePoint now, std::uint64_t key, RequestHead head,
                 std::string body, const ContentHash &bodyHash);
  /// The caller has closed its connection.
  void onCallerDisconnected(TimePoint now, std::uint64_t key);

  /// \returns whether this entry knows which zones are evacuated, and will for
  /// a while longer.
  bool knowsZones(TimePoint now) const;
  QuarantineController &quarantine() { return Quarantine; }
  AccountController &accounts() { return Accounts; }
  /// This process can't read the newest routing document.
  void setTableOutdated() { Board.TableOutdated = true; }
  /// \returns whether takeAllotmentReport() may have something.
  bool isAllotmentReportDue(TimePoint now) const {
    return Board.Leases.isReportDue(now);
  }
  /// \returns the report on allotments for the leader of the replicas, if one
  /// is due.
  std::optional<AllotmentReport> takeAllotmentReport(TimePoint now) {
    return Board.Leases.takeReport(now);
  }
  /// The leader has answered a report.
  void onAllotmentGrants(TimePoint now, const AllotmentGrants &grants);
  bool hasPermitQueries() const { return Board.Permits.hasQueries(); }
  /// \returns the queries for permits to send to limited or cold servers, for
  /// the leader.
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
  /// \returns whether the leader has left a report or query unanswered for too
  /// long.
  bool hasOverdueLedgerQuery(TimePoint now) const {
    return Board.Leases.hasOverdueQuery(now) ||
           Board.Permits.hasOverdueQuery(now);
  }
  /// An agent tells at which software version a stream began.
  void onStreamOrigin(TimePoint now, const HostName &agent,
                      const StreamOriginReply &reply);
  /// The same of the replica at \p address.
  void onReplicaOrigin(TimePoint now, const std::string &address,
                       const StreamOriginReply &reply);
  /// The replica at \p address doesn't answer questions about streams.
  void onReplicaLost(TimePoint now, const std::string &address);
  /// Sets the addresses of the replicas that answer them, as far as is known.
  void setOriginKeepers(std::vector<std::string> addresses) {
    Board.OriginKeepers = std::move(addresses);
  }
  /// \returns whether the replicas have to know the origins of streams.
  bool needsOriginKeepers(TimePoint now) const {
    return Origins.isAnyMixed(now);
  }
  /// \returns the origins that all replicas have to be told.
  std::vector<StreamOrigin> takeOriginsToKeep() {
    return std::exchange(Board.OriginsToKeep, {});
  }
  /// \returns the streams that all replicas have to be asked about.
  std::vector<RequestId> takeOriginsToAsk() {
    return std::exchange(Board.OriginsToAsk, {});
  }
  /// The link to an agent is lost.
  void onAgentLost(TimePoint now, const HostName &agent);
  /// The replicas have decided on a proposal, or haven't in time.
  /// Refuses the unanswered requests, sent or not, with a part that is in
  /// quarantine now.
  void onQuarantineUpdate(TimePoint now, const QuarantineUpdate &update);
  void onDecision(TimePoint now, std::uint64_t nonce,
                  const std::optional<CommandOutcome> &outcome);
  /// A server whose answer had broken off has been checked.
  void onServerChecked(TimePoint now, const ServerProcess &server,
                       ServerCheckResult checkResult);
  /// The caller of request \p key has \p unsent bytes of its answer to read
  /// yet. Stops reading the server while these are too many.
  /// \returns whether that has changed.
  bool onUnsent(TimePoint now, std::uint64_t key, std::size_t unsent);
  /// The callers' connections hold \p bytes in all: unfinished requests and
  /// unread answers.
  void onConnectionBytes(std::size_t bytes) {
    Board.Bytes.recordConnections(bytes);
  }

  AttemptController &attempts() { return Attempts; }
  AnswerController &answers() { return Answers; }
  /// Enforces timeouts; to be called every few tens of milliseconds.
  void tick(TimePoint now);

  std::vector<ForwardCommand> takeCommands();
  std::vector<ForwardEvent> takeEvents();
  bool idle() const { return Board.Requests.empty(); }
  const ForwardBoard &board() const { return Board; }

private:
  void resolve(TimePoint now, ForwardRequest &request);
  /// Admits the request by its key and its account's allotment, and sends it.
  void admit(TimePoint now, ForwardRequest &request);
  /// Reserves room for the bytes of the request, in place of less urgent ones
  /// if needed, or refuses it. Does nothing for one that has its room.
  /// \returns whether it has the room.
  bool makeRoom(TimePoint now, ForwardRequest &request);
  /// \returns whether the request has waited for its units for too long.
  bool isChargeOverdue(TimePoint now, const ForwardRequest &request) const;
  /// Defers a request whose route or client account can't be determined yet: no
  /// configuration is known, or it isn't known to be the newest.
  void deferUnresolved(TimePoint now, ForwardRequest &request);
  /// Goes on with requests for which it is decided at which software version
  /// they may run.
  void resume(TimePoint now, const std::vector<std::uint64_t> &keys);
  /// Tries the deferred requests again whose retry is due.
  void retryDeferred(TimePoint now);
  /// \returns whether a check of the server, which soon ends, decides whether
  /// the answer is whole. Such a request is neither late nor lost.
  static bool awaitsCheck(const ForwardRequest &request);
  /// \returns whether the agent's answer is overdue.
  bool isAgentOverdue(TimePoint now, const ForwardRequest &request) const;
  /// \returns whether the request may be repeated and its server's host must be
  /// assumed to be gone: the host is suspected, SuspectGracePeriod has passed
  /// since, and the server has sent nothing for SuspectSilenceTimeout.
  bool isServerLost(TimePoint now, const ForwardRequest &request) const;

  ForwardBoard Board;
  AccountController Accounts;
  DeferController Deferrals;
  QuarantineController Quarantine;
  StreamOriginController Origins;
  ContentHasher Hasher;
  AttemptController Attempts;
  AnswerController Answers;
  /// Revision of the configuration at the last tick().
  Revision KnownRevision = 0;
};

} // namespace pimentofront

#endif
