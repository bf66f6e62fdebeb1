#ifndef PIMENTOFRONT_STATE_STATE_MACHINE_H
#define PIMENTOFRONT_STATE_STATE_MACHINE_H

#include "ClaimLedger.h"
#include "Configuration.h"
#include "DepartureLedger.h"
#include "QuarantineLedger.h"
#include "SoftwareHistory.h"

#include <deque>

namespace pimentofront {

/// \returns whether \p name is valid for an adapter, a host, a zone and the
/// like: 1 to 128 of the characters a-z A-Z 0-9 - _ . /
bool isValidName(std::string_view name);

/// \class StateMachine
/// \ingroup State
/// \brief Applies the commands of the replicated log. Deterministic: the same
/// commands in the same order give the same state and outcomes on every
/// replica.
class StateMachine {
public:
  explicit StateMachine(const ClaimLedgerOptions &options = {})
      : Options(options), Claims(options) {}

  /// Applies one command. A command whose id was applied before isn't applied
  /// again: it gets its first outcome, or IdReused if its content differs.
  /// \param wallMilliseconds wall-clock time of the log entry.
  CommandOutcome apply(std::uint64_t wallMilliseconds, const Command &command);

  const Configuration &configuration() const { return Records; }
  const ClaimLedger &claims() const { return Claims; }
  const QuarantineLedger &quarantine() const { return Quarantine; }
  const DepartureLedger &departures() const { return Departures; }
  /// \returns the whole state, each item prefixed with its length in four
  /// bytes.
  std::string encode() const;
  /// Replaces the state with the one encoded in \p bytes.
  tl::expected<void, DecodeError> decode(std::string_view bytes);

private:
  CommandOutcome applyBody(std::uint64_t wallMilliseconds,
                           const Command &command);
  CommandOutcome createAdapter(const Command &command,
                               const CreateAdapter &body);
  CommandOutcome addVersion(const Command &command, const CreateVersion &body);
  CommandOutcome declareLive(const Command &command, const DeclareLive &body);
  CommandOutcome setKind(const Command &command, const SetKind &body);
  CommandOutcome setDrained(const Command &command, const SetDrained &body);
  CommandOutcome evacuate(const Command &command, const EvacuateZone &body);
  CommandOutcome putDocument(const Command &command, const PutDocument &body);
  CommandOutcome activateVersion(const Command &command,
                                 const ActivateVersion &body);
  CommandOutcome recordSoftware(const Command &command,
                                const RecordSoftware &body);
  /// Stores \p record as the next revision of the configuration.
  template <class Record>
  CommandOutcome accept(const Command &command, Record record);
  CommandOutcome refuse(CommandResult result, std::string detail) const;
  CommandOutcome conflict(const OperatorName &winner, std::string detail) const;
  /// \returns the outcome if \p body is a command for the quarantine ledger,
  /// else nothing.
  std::optional<CommandOutcome> applyQuarantine(const CommandBody &body);
  void recordOutcome(const OutcomeRecord &record);
  void restoreItem(const StateItem &item);

  ClaimLedgerOptions Options;
  Configuration Records;
  ClaimLedger Claims;
  QuarantineLedger Quarantine;
  DepartureLedger Departures;
  std::map<CommandId, OutcomeRecord> Outcomes;
  std::deque<CommandId> OutcomeOrder;
};

} // namespace pimentofront

#endif
