#ifndef PIMENTOFRONT_TESTKIT_LEDGER_H
#define PIMENTOFRONT_TESTKIT_LEDGER_H

#include "pimentofront/Node.h"

#include <map>
#include <set>

namespace pimentofront::testkit {

/// \class RequestRecord
/// \ingroup Testkit
/// \brief One submission of a request and its outcome as the caller saw it. A
/// request that is submitted again under its id has a record for each.
struct RequestRecord {
  CallerRequest Request;
  TimePoint SentAt;
  std::string Text;
  bool Ended = false;
  TimePoint EndedAt;
  FinalAnswer Answer;
};

/// \class Ledger
/// \ingroup Testkit
/// \brief Records the events of a simulation, checks the invariants and keeps a
/// list of their violations.
class Ledger {
public:
  /// Maximum time from the acceptance of a configuration change, as reported to
  /// the operator, until every entry applies it.
  static constexpr Duration MaxPropagationTime = std::chrono::seconds(6);

  RequestRecord &recordSubmitted(TimePoint now, RequestKey key,
                                 const CallerRequest &request);
  RequestRecord *find(RequestKey key);
  void recordOutcome(TimePoint now, RequestKey key, const FinalAnswer &answer);
  /// Records that an entry sent a request to a host. On the first send, the
  /// adapter version that the entry resolved must be live. Later sends aren't
  /// checked: a request keeps its resolved version when its host is slow or
  /// when another host continues it.
  void recordRouted(TimePoint now, const ExecuteRequest &request);
  /// Records that an engine or service began to run a request.
  void recordStarted(TimePoint now, const ExecuteRequest &request);
  /// Records that an operator proposed \p live as the live versions. They may
  /// be in force until the proposal is answered.
  void recordProposal(const AdapterName &adapter,
                      const std::vector<VersionNumber> &live);
  /// Records that the proposal was declined.
  void recordDeclined(const AdapterName &adapter,
                      const std::vector<VersionNumber> &live);
  /// Records that the proposal was accepted with revision \p at. Answers may
  /// arrive out of order; an answer with an older revision changes nothing.
  void recordAccepted(TimePoint now, const AdapterName &adapter,
                      const std::vector<VersionNumber> &live, Revision at);
  /// Records the configuration revision of a process; within one incarnation it
  /// must never decrease.
  void recordRevision(const HostName &host, std::uint64_t incarnation,
                      Revision revision);
  /// Adds \p what to the violations.
  void addViolation(TimePoint now, const std::string &what);

  std::uint32_t runCount(const RequestId &id) const;
  const std::vector<std::string> &violations() const { return Violations; }
  const std::map<RequestKey, RequestRecord> &requests() const {
    return Requests;
  }
  /// Checks that each adapter's live versions in \p state are those last
  /// accepted or those of a proposal that hasn't been answered.
  void checkState(TimePoint now, const Configuration &state);
  /// Stops keeping and checking answer texts, and checking the versions that
  /// requests are routed to, for replays of many thousands of requests.
  void discardTexts() { KeepTexts = false; }
  bool keepsTexts() const { return KeepTexts; }

private:
  bool isProposedLive(const AdapterKey &key) const;
  void checkAnswer(TimePoint now, const RequestRecord &record);

  std::map<RequestKey, RequestRecord> Requests;
  std::map<RequestId, std::uint32_t> Runs;
  std::set<RequestId> Routed;
  std::map<AdapterName, std::vector<VersionNumber>> Live;
  std::map<AdapterName, Revision> LiveSince;
  /// Proposals that haven't been answered; each may be in force.
  std::map<AdapterName, std::multiset<std::vector<VersionNumber>>>
      OpenProposals;
  /// When a version stopped being live.
  std::map<AdapterKey, TimePoint> Retired;
  std::map<std::pair<HostName, std::uint64_t>, Revision> LatestRevisions;
  std::vector<std::string> Violations;
  bool KeepTexts = true;
};

/// \returns the token that a fake engine generates at \p position of the answer
/// to a request.
std::string fakeToken(const AdapterKey &key, const RequestId &request,
                      std::uint64_t position);

} // namespace pimentofront::testkit

#endif
