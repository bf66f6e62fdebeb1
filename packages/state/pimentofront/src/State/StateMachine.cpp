#include "pimentofront/State.h"

#include <algorithm>
#include <cstring>

namespace pimentofront {
namespace {

/// Outcomes stored to answer resent commands: several weeks' worth at the
/// expected rate of commands.
constexpr std::size_t MaxOutcomes = 20000;
constexpr std::size_t MaxNameBytes = 128;
constexpr std::size_t MaxSourceBytes = 1024;
constexpr std::size_t MaxVersions = 64;

std::uint64_t hashOf(Command command) {
  command.Id = CommandId();
  return stableHash(encodeCommand(command));
}

constexpr const char *NameRule =
    "a name has 1 to 128 of the characters a-z A-Z 0-9 - _ . /";

} // namespace

bool isValidName(std::string_view name) {
  const auto isAllowed = [](unsigned char c) {
    return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '/';
  };
  return !name.empty() && name.size() <= MaxNameBytes &&
         std::ranges::all_of(name, isAllowed);
}

CommandOutcome StateMachine::refuse(CommandResult result,
                                    std::string detail) const {
  return {
      .Result = result, .At = Records.revision(), .Detail = std::move(detail)};
}

CommandOutcome StateMachine::conflict(const OperatorName &winner,
                                      std::string detail) const {
  CommandOutcome outcome = refuse(CommandResult::Conflict, std::move(detail));
  outcome.Winner = winner;
  return outcome;
}

template <class Record>
CommandOutcome StateMachine::accept(const Command &command, Record record) {
  const Revision next = Records.revision() + 1;
  record.ChangedAt = next;
  record.ChangedBy = command.Operator;
  Records.put(record);
  Records.advance(next);
  return {.Result = CommandResult::Accepted, .At = next};
}

CommandOutcome StateMachine::apply(std::uint64_t wallMilliseconds,
                                   const Command &command) {
  if (command.Id.empty())
    return applyBody(wallMilliseconds, command);
  const std::uint64_t hash = hashOf(command);
  const auto it = Outcomes.find(command.Id);
  if (it != Outcomes.end()) {
    if (it->second.ContentHash == hash)
      return it->second.Outcome;
    return refuse(CommandResult::IdReused,
                  "the command id was used with other contents");
  }
  const CommandOutcome outcome = applyBody(wallMilliseconds, command);
  recordOutcome({command.Id, hash, outcome, wallMilliseconds});
  return outcome;
}

void StateMachine::recordOutcome(const OutcomeRecord &record) {
  Outcomes.emplace(record.Id, record);
  OutcomeOrder.push_back(record.Id);
  if (OutcomeOrder.size() <= MaxOutcomes)
    return;
  Outcomes.erase(OutcomeOrder.front());
  OutcomeOrder.pop_front();
}

CommandOutcome StateMachine::applyBody(std::uint64_t wallMilliseconds,
                                       const Command &command) {
  const CommandBody &body = command.Body;
  if (const auto outcome = applyQuarantine(body))
    return *outcome;
  if (const auto *it = std::get_if<ClaimRequest>(&body))
    return Claims.claim(wallMilliseconds, *it);
  if (const auto *it = std::get_if<RecordEnding>(&body))
    return Claims.end(wallMilliseconds, *it);
  if (const auto *it = std::get_if<CreateAdapter>(&body))
    return createAdapter(command, *it);
  if (const auto *it = std::get_if<CreateVersion>(&body))
    return addVersion(command, *it);
  if (const auto *it = std::get_if<DeclareLive>(&body))
    return declareLive(command, *it);
  if (const auto *it = std::get_if<SetKind>(&body))
    return setKind(command, *it);
  if (const auto *it = std::get_if<PutDocument>(&body))
    return putDocument(command, *it);
  if (const auto *it = std::get_if<ActivateVersion>(&body))
    return activateVersion(command, *it);
  if (const auto *it = std::get_if<EvacuateZone>(&body))
    return evacuate(command, *it);
  if (const auto *it = std::get_if<RecordSoftware>(&body))
    return recordSoftware(command, *it);
  if (const auto *it = std::get_if<RecordDeparture>(&body))
    return Departures.record(*it);
  if (const auto *it = std::get_if<ForgetDepartures>(&body))
    return Departures.forget(*it);
  return setDrained(command, std::get<SetDrained>(body));
}

std::optional<CommandOutcome>
StateMachine::applyQuarantine(const CommandBody &body) {
  if (const auto *it = std::get_if<ReportServerExit>(&body))
    return Quarantine.report(*it);
  if (const auto *it = std::get_if<ClaimTrial>(&body))
    return Quarantine.claim(*it);
  if (const auto *it = std::get_if<EndTrial>(&body))
    return Quarantine.end(*it);
  if (const auto *it = std::get_if<ReviewQuarantine>(&body))
    return Quarantine.review(*it);
  if (const auto *it = std::get_if<ReleaseQuarantine>(&body))
    return Quarantine.release(*it);
  if (const auto *it = std::get_if<ReportSurvivors>(&body))
    return Quarantine.recordSurvivors(*it);
  return std::nullopt;
}

CommandOutcome StateMachine::createAdapter(const Command &command,
                                           const CreateAdapter &body) {
  if (!isValidName(body.Adapter.str()) || !isValidName(body.BaseModel))
    return refuse(CommandResult::Invalid, NameRule);
  if (const auto existing = Records.findAdapter(body.Adapter))
    return conflict(existing->ChangedBy, "the adapter exists");
  return accept(command, AdapterRecord{.Name = body.Adapter,
                                       .BaseModel = body.BaseModel});
}

CommandOutcome StateMachine::addVersion(const Command &command,
                                        const CreateVersion &body) {
  auto adapter = Records.findAdapter(body.Adapter);
  if (!adapter)
    return refuse(CommandResult::NotFound, "no such adapter");
  if (body.Number == 0 || body.Source.empty() ||
      body.Source.size() > MaxSourceBytes)
    return refuse(CommandResult::Invalid,
                  "a version has a number from 1 and a source of at most 1024 "
                  "bytes");
  if (adapter->Versions.size() >= MaxVersions)
    return refuse(CommandResult::Invalid, "the adapter has 64 versions");
  if (std::ranges::find(adapter->Versions, body.Number,
                        &VersionRecord::Number) != adapter->Versions.end())
    return conflict(adapter->ChangedBy, "the version exists");
  if (command.BuildsOn != 0 && command.BuildsOn != adapter->ChangedAt)
    return conflict(adapter->ChangedBy, "the adapter was changed meanwhile");
  adapter->Versions.push_back({.Number = body.Number, .Source = body.Source});
  return accept(command, std::move(*adapter));
}

CommandOutcome StateMachine::declareLive(const Command &command,
                                         const DeclareLive &body) {
  auto adapter = Records.findAdapter(body.Adapter);
  if (!adapter)
    return refuse(CommandResult::NotFound, "no such adapter");
  for (const VersionNumber it : body.Versions)
    if (std::ranges::find(adapter->Versions, it, &VersionRecord::Number) ==
        adapter->Versions.end())
      return refuse(CommandResult::NotFound,
                    "no version " + std::to_string(it));
  if (command.BuildsOn != 0 && command.BuildsOn != adapter->ChangedAt)
    return conflict(adapter->ChangedBy, "the adapter was changed meanwhile");
  for (VersionRecord &it : adapter->Versions)
    it.Live =
        std::ranges::find(body.Versions, it.Number) != body.Versions.end();
  return accept(command, std::move(*adapter));
}

CommandOutcome StateMachine::setKind(const Command &command,
                                     const SetKind &body) {
  constexpr std::uint32_t MaxWeight = 1000;
  constexpr Duration MaxWindow = std::chrono::hours(1);
  const KindRecord &kind = body.Record;
  if (!isValidName(kind.Name.str()))
    return refuse(CommandResult::Invalid, NameRule);
  if (kind.Weight < 1 || kind.Weight > MaxWeight ||
      kind.Window <= Duration::zero() || kind.Window > MaxWindow)
    return refuse(CommandResult::Invalid,
                  "weight is from 1 to 1000, window up to an hour");
  const KindRecord *existing = Records.findKind(kind.Name);
  if (command.BuildsOn != 0 && existing &&
      command.BuildsOn != existing->ChangedAt)
    return conflict(existing->ChangedBy, "the kind was changed meanwhile");
  return accept(command, kind);
}

CommandOutcome StateMachine::setDrained(const Command &command,
                                        const SetDrained &body) {
  if (!isValidName(body.Host.str()))
    return refuse(CommandResult::Invalid, NameRule);
  return accept(command,
                DrainRecord{.Host = body.Host, .Drained = body.Drained});
}

CommandOutcome StateMachine::evacuate(const Command &command,
                                      const EvacuateZone &body) {
  if (!isValidName(body.Zone.str()))
    return refuse(CommandResult::Invalid, NameRule);
  const ZoneRecord *present = Records.findZone(body.Zone);
  if (command.BuildsOn != 0 && present &&
      command.BuildsOn != present->ChangedAt)
    return conflict(present->ChangedBy, "the zone was changed meanwhile");
  const bool evacuated = present && present->Evacuated;
  if (evacuated == body.Evacuated)
    return {.Result = CommandResult::Accepted, .At = Records.revision()};
  return accept(command,
                ZoneRecord{.Zone = body.Zone, .Evacuated = body.Evacuated});
}

CommandOutcome StateMachine::putDocument(const Command &command,
                                         const PutDocument &body) {
  const DocumentRecord *present = Records.document();
  if (present && body.Number <= present->Number)
    return {.Result = CommandResult::Accepted, .At = Records.revision()};
  return accept(command,
                DocumentRecord{.Number = body.Number, .Packed = body.Packed});
}

CommandOutcome StateMachine::activateVersion(const Command &command,
                                             const ActivateVersion &body) {
  if (!isValidName(body.Adapter.str()) || !isValidName(body.BaseModel))
    return refuse(CommandResult::Invalid, NameRule);
  if (body.Number == 0)
    return refuse(CommandResult::Invalid, "a version has a number from 1");
  AdapterRecord adapter =
      Records.findAdapter(body.Adapter)
          .value_or(
              AdapterRecord{.Name = body.Adapter, .BaseModel = body.BaseModel});
  const auto isNewer = [&](const VersionRecord &it) {
    return it.Live && it.Number >= body.Number;
  };
  if (std::ranges::any_of(adapter.Versions, isNewer))
    return {.Result = CommandResult::Accepted, .At = Records.revision()};
  for (VersionRecord &it : adapter.Versions)
    it.Live = false;
  std::erase_if(adapter.Versions, [&](const VersionRecord &it) {
    return it.Number == body.Number;
  });
  // ActivateVersion keeps adding versions to an adapter, so the oldest version
  // is dropped at the limit.
  if (adapter.Versions.size() >= MaxVersions)
    adapter.Versions.erase(adapter.Versions.begin());
  adapter.Versions.push_back({.Number = body.Number, .Live = true});
  return accept(command, std::move(adapter));
}

CommandOutcome StateMachine::recordSoftware(const Command &command,
                                            const RecordSoftware &body) {
  if (!mayRecordSoftware(Records, body))
    return refuse(CommandResult::Invalid,
                  "the service's name or the version is invalid, or there are "
                  "too many services");
  const SoftwareRecord *present = Records.findSoftware(body.Service);
  SoftwareRecord record =
      present ? *present : SoftwareRecord{.Service = body.Service};
  const auto it = std::ranges::find(record.Versions, body.Software);
  const bool recorded = it != record.Versions.end();
  if (recorded != body.Retired)
    return {.Result = CommandResult::Accepted, .At = Records.revision()};
  if (body.Retired) {
    record.Versions.erase(it);
  } else {
    // The service stays one of several versions.
    if (record.Versions.size() >= MaxSoftwareVersions)
      record.Versions.erase(record.Versions.begin());
    record.Versions.push_back(body.Software);
  }
  return accept(command, std::move(record));
}

std::string StateMachine::encode() const {
  std::string bytes;
  const auto add = [&](const StateItem &item) {
    const std::string encoded = encodeStateItem(item);
    const auto n = static_cast<std::uint32_t>(encoded.size());
    bytes.append(reinterpret_cast<const char *>(&n), sizeof(n));
    bytes += encoded;
  };
  add(StateHeader{Records.revision()});
  Records.forEachChanged(0, [&](const ConfigurationRecord &record) {
    std::visit([&](const auto &it) { add(it); }, record);
  });
  Claims.forEach(add);
  // Omitted while the quarantine ledger is unused, so that an earlier release,
  // which doesn't know this item, can still read the state.
  if (Quarantine.version() > 0)
    add(QuarantineHeader{Quarantine.version()});
  for (const auto &[content, it] : Quarantine.records())
    add(it);
  for (const auto &[id, it] : Quarantine.parts().records())
    add(it);
  // Omitted until all replicas decode it, as the quarantine ledger above.
  if (Departures.version() > 0)
    add(DepartureHeader{Departures.version()});
  for (const auto &[process, it] : Departures.records())
    add(it);
  for (const CommandId &it : OutcomeOrder)
    add(Outcomes.at(it));
  return bytes;
}

void StateMachine::restoreItem(const StateItem &item) {
  if (const auto *header = std::get_if<StateHeader>(&item))
    Records.advance(header->Current);
  else if (const auto *claim = std::get_if<ClaimRecord>(&item))
    Claims.restore(*claim);
  else if (const auto *outcome = std::get_if<OutcomeRecord>(&item))
    recordOutcome(*outcome);
  else if (const auto *adapter = std::get_if<AdapterRecord>(&item))
    Records.put(*adapter);
  else if (const auto *kind = std::get_if<KindRecord>(&item))
    Records.put(*kind);
  else if (const auto *drain = std::get_if<DrainRecord>(&item))
    Records.put(*drain);
  else if (const auto *zone = std::get_if<ZoneRecord>(&item))
    Records.put(*zone);
  else if (const auto *document = std::get_if<DocumentRecord>(&item))
    Records.put(*document);
  else if (const auto *software = std::get_if<SoftwareRecord>(&item))
    Records.put(*software);
  else if (const auto *ledger = std::get_if<QuarantineHeader>(&item))
    Quarantine.restoreVersion(ledger->Version);
  else if (const auto *record = std::get_if<QuarantineRecord>(&item))
    Quarantine.restore(*record);
  else if (const auto *part = std::get_if<PartRecord>(&item))
    Quarantine.restore(*part);
  else if (const auto *ledgerOfDepartures = std::get_if<DepartureHeader>(&item))
    Departures.restoreVersion(ledgerOfDepartures->Version);
  else if (const auto *departure = std::get_if<DepartureRecord>(&item))
    Departures.restore(*departure);
}

tl::expected<void, DecodeError> StateMachine::decode(std::string_view bytes) {
  *this = StateMachine(Options);
  while (!bytes.empty()) {
    std::uint32_t n = 0;
    if (bytes.size() < sizeof(n))
      return tl::unexpected(DecodeError{"the state ends inside an item"});
    std::memcpy(&n, bytes.data(), sizeof(n));
    bytes.remove_prefix(sizeof(n));
    if (bytes.size() < n)
      return tl::unexpected(DecodeError{"the state ends inside an item"});
    const auto item = decodeStateItem(bytes.substr(0, n));
    if (!item)
      return tl::unexpected(item.error());
    restoreItem(*item);
    bytes.remove_prefix(n);
  }
  return {};
}

} // namespace pimentofront
