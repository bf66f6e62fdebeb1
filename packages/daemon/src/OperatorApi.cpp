//===- OperatorApi.cpp - Calls of the Operator service ----------*- C++ -*-===//

#include "ApiHandler.h"
#include "pimentofront.pb.h"

namespace pimentofront {
namespace {

ConnectCode codeOf(CommandResult result) {
  switch (result) {
  case CommandResult::Conflict:
    return ConnectCode::Aborted;
  case CommandResult::NotFound:
    return ConnectCode::NotFound;
  case CommandResult::IdReused:
    return ConnectCode::AlreadyExists;
  default:
    return ConnectCode::InvalidArgument;
  }
}

void answerChange(const ApiCall &call,
                  const std::optional<CommandOutcome> &outcome) {
  constexpr Duration RetryDelay = std::chrono::seconds(1);
  if (!outcome)
    return call.fail({.Code = ConnectCode::Unavailable,
                      .Message = "not decided in time; send it again under "
                                 "the same command id",
                      .Reason = "undecided",
                      .RetryAfter = RetryDelay});
  if (outcome->Result != CommandResult::Accepted) {
    std::string text = outcome->Detail;
    if (!outcome->Winner.empty())
      text += " (by " + outcome->Winner.str() + ")";
    return call.fail({.Code = codeOf(outcome->Result),
                      .Message = text,
                      .NotRun = true,
                      .Reason = "refused"});
  }
  v1::ChangeResponse response;
  response.set_revision(outcome->At);
  call.succeed(response);
}

void propose(const LocalNodes &nodes, TimePoint now, const ApiCall &call,
             const v1::Change &change, CommandBody body) {
  if (change.command_id().empty() || change.operator_().empty())
    return call.fail({.Code = ConnectCode::InvalidArgument,
                      .Message = "change.command_id and change.operator are "
                                 "required",
                      .NotRun = true,
                      .Reason = "invalid"});
  const Command command{.Id = CommandId(change.command_id()),
                        .Operator = OperatorName(change.operator_()),
                        .BuildsOn = change.builds_on(),
                        .Body = std::move(body)};
  nodes.Entry->command(now, command,
                       [call](const std::optional<CommandOutcome> &outcome) {
                         answerChange(call, outcome);
                       });
}

KindRecord toRecord(const v1::Kind &kind) {
  return {.Name = KindName(kind.name()),
          .Weight = kind.weight(),
          .Window = std::chrono::milliseconds(kind.window_ms()),
          .InFlightLimit = kind.in_flight_limit(),
          .CallerLimit = kind.caller_limit()};
}

void fill(v1::Kind &to, const KindRecord &kind) {
  constexpr std::int64_t MicrosPerMilli = 1000;
  to.set_name(kind.Name.str());
  to.set_weight(kind.Weight);
  to.set_window_ms(
      static_cast<std::uint64_t>(kind.Window.count() / MicrosPerMilli));
  to.set_in_flight_limit(kind.InFlightLimit);
  to.set_caller_limit(kind.CallerLimit);
  to.set_changed_at(kind.ChangedAt);
  to.set_changed_by(kind.ChangedBy.str());
}

void getAdapter(const LocalNodes &nodes, const ApiCall &call) {
  v1::GetAdapterRequest message;
  if (!readOrFail(call, message))
    return;
  const auto record =
      nodes.Entry->configuration().findAdapter(AdapterName(message.adapter()));
  if (!record)
    return call.fail(
        {.Code = ConnectCode::NotFound, .Message = "no such adapter"});
  v1::Adapter adapter;
  adapter.set_name(record->Name.str());
  adapter.set_base_model(record->BaseModel);
  adapter.set_changed_at(record->ChangedAt);
  adapter.set_changed_by(record->ChangedBy.str());
  for (const VersionRecord &it : record->Versions) {
    v1::Version *version = adapter.add_versions();
    version->set_number(it.Number);
    version->set_source(it.Source);
    version->set_live(it.Live);
  }
  call.succeed(adapter);
}

void listKinds(const LocalNodes &nodes, const ApiCall &call) {
  v1::ListKindsResponse response;
  for (const auto &[name, it] : nodes.Entry->configuration().records().kinds())
    fill(*response.add_kinds(), it);
  call.succeed(response);
}

//===----------------------------------------------------------------------===//
// Status: merges the answers of all replicas
//===----------------------------------------------------------------------===//

/// Merges the answers of all replicas and sends the response after the last
/// one. A replica without an answer counts, too, and is listed as unreachable.
struct StatusCollector {
  ApiCall Call;
  std::size_t PendingReplies = 0;
  v1::StatusResponse Response;
  const ConfigurationCopy *Copy = nullptr;
  bool AccountsOnly = false;

  void add(const std::string &address, const std::optional<AdminReply> &reply);
  void addReplica(const std::string &address, const ReplicaStatus &status);
  void addMembers(const ReplicaStatus &status);
  void addQuarantine(const ReplicaStatus &status);
  void addAccounts(const ReplicaStatus &status);
  void addZones();
  void finish();
};

void StatusCollector::addReplica(const std::string &address,
                                 const ReplicaStatus &status) {
  v1::Replica *replica = Response.add_replicas();
  replica->set_host(status.Host.str());
  replica->set_address(address);
  replica->set_reachable(true);
  replica->set_leads(status.Leads);
  replica->set_term(status.Term);
  replica->set_commit_index(status.CommitIndex);
  replica->set_revision(status.Current);
  replica->set_adapters(status.Adapters);
  replica->set_claims(status.Claims);
  for (const ReplicaDescriptor &it : status.Group)
    replica->add_group(it.Host.str() + (it.Learner ? " (learner)" : ""));
  Response.set_revision(std::max(Response.revision(), status.Current));
  for (const RevisionInForce &it : status.InForce) {
    v1::InForce *process = Response.add_in_force();
    process->set_host(it.Host.str());
    process->set_revision(it.At);
  }
}

void StatusCollector::addMembers(const ReplicaStatus &status) {
  for (const MemberRecord &it : status.Members) {
    v1::BackendServer *server = Response.add_backend_servers();
    server->set_host(it.Host.str());
    server->set_zone(it.Zone.str());
    server->set_address(it.Address);
    server->set_base_model(it.BaseModel);
    server->set_slots(it.Slots);
    server->set_leaving(it.Leaving);
    server->set_drained(Copy->isDrained(it.Host));
    for (const ServiceName &service : it.Services)
      server->add_services(service.str());
  }
}

void StatusCollector::addQuarantine(const ReplicaStatus &status) {
  for (const QuarantineRecord &it : status.Quarantine) {
    v1::SuspectedRequest *request = Response.add_suspected_requests();
    request->set_content(it.Content.str());
    request->set_quarantined(it.Quarantined);
    for (const ServerExit &end : it.Exits)
      request->add_servers(end.Server.Name.str());
  }
  for (const PartRecord &it : status.Parts) {
    v1::SuspectedPart *part = Response.add_suspected_parts();
    part->set_content(it.Part.Id.str());
    part->set_part(partName(it.Part.Part));
    part->set_account(it.Account.str());
    part->set_quarantined(it.State == PartState::Quarantined);
    for (const SharedPart &other : it.With)
      part->add_with(partName(other.Part));
    for (const PartExit &exit : it.Exits)
      part->add_servers(exit.Server.Name.str());
    for (const ServiceName &service : it.Services)
      part->add_services(service.str());
  }
}

void StatusCollector::addAccounts(const ReplicaStatus &status) {
  for (const AccountStatus &it : status.Accounts) {
    v1::ClientAccount *account = Response.add_accounts();
    account->set_name(it.Account.str());
    for (const std::string &key : it.Keys)
      account->add_keys(key);
    account->set_per_second(it.PerSecond);
    account->set_burst(it.Burst);
    account->set_level(it.Level);
    account->set_lent(it.LeasedUnits);
    account->set_granted(it.Granted);
    account->set_refused(it.Refused);
  }
}

void StatusCollector::add(const std::string &address,
                          const std::optional<AdminReply> &reply) {
  if (reply) {
    addReplica(address, reply->Status);
    if (reply->Status.Leads) {
      addMembers(reply->Status);
      addQuarantine(reply->Status);
      addAccounts(reply->Status);
    }
  } else {
    Response.add_replicas()->set_address(address);
  }
  if (--PendingReplies == 0)
    finish();
}

/// Lists for each zone the processes that have not applied its last change:
/// they may still send requests to an evacuated zone.
void StatusCollector::addZones() {
  for (const auto &[name, it] : Copy->records().zones()) {
    v1::Zone *zone = Response.add_zones();
    zone->set_name(name.str());
    zone->set_evacuated(it.Evacuated);
    zone->set_changed_at(it.ChangedAt);
    zone->set_changed_by(it.ChangedBy.str());
    for (const v1::InForce &process : Response.in_force())
      if (process.revision() < it.ChangedAt)
        zone->add_not_in_force(process.host());
  }
}

void StatusCollector::finish() {
  if (AccountsOnly) {
    v1::StatusResponse accounts;
    accounts.mutable_accounts()->Swap(Response.mutable_accounts());
    return Call.succeed(accounts);
  }
  for (const v1::InForce &it : Response.in_force())
    if (it.revision() < Response.revision())
      Response.add_lagging(it.host());
  addZones();
  Call.succeed(Response);
}

void getStatus(const LocalNodes &nodes, const Settings &settings, TimePoint now,
               const ApiCall &call) {
  v1::GetStatusRequest message;
  if (!readOrFail(call, message))
    return;
  auto collector = std::make_shared<StatusCollector>();
  collector->Call = call;
  collector->AccountsOnly = message.accounts_only();
  collector->PendingReplies = settings.Replicas.size();
  collector->Copy = &nodes.Entry->configuration();
  for (const std::string &address : settings.Replicas)
    nodes.Entry->admin(now, {.Action = AdminAction::Status}, address,
                       [collector, address](const auto &reply) {
                         collector->add(address, reply);
                       });
}

void bootstrap(const LocalNodes &nodes, TimePoint now, const ApiCall &call) {
  if (!nodes.Replica)
    return call.fail({.Code = ConnectCode::Unimplemented,
                      .Message = "this process has no replica"});
  v1::BootstrapResponse response;
  response.set_done(nodes.Replica->bootstrap(now));
  call.succeed(response);
}

void removeReplica(const LocalNodes &nodes, TimePoint now,
                   const ApiCall &call) {
  v1::RemoveReplicaRequest message;
  if (!readOrFail(call, message))
    return;
  nodes.Entry->admin(
      now,
      {.Action = AdminAction::RemoveReplica, .Host = HostName(message.host())},
      "", [call](const std::optional<AdminReply> &reply) {
        v1::RemoveReplicaResponse response;
        response.set_done(reply && reply->Done);
        call.succeed(response);
      });
}

void setDrained(const LocalNodes &nodes, TimePoint now, const ApiCall &call,
                bool drained) {
  v1::DrainRequest message;
  if (readOrFail(call, message))
    propose(nodes, now, call, message.change(),
            SetDrained{HostName(message.host()), drained});
}

void evacuate(const LocalNodes &nodes, const Settings &settings, TimePoint now,
              const ApiCall &call, bool evacuated) {
  v1::EvacuateZoneRequest message;
  if (!readOrFail(call, message))
    return;
  const ZoneName zone(message.zone());
  if (!isPossibleZone(settings.Zones, zone))
    return call.fail({.Code = ConnectCode::NotFound,
                      .Message = "no such availability zone",
                      .NotRun = true,
                      .Reason = "refused"});
  propose(nodes, now, call, message.change(), EvacuateZone{zone, evacuated});
}

void releaseRequest(const LocalNodes &nodes, TimePoint now,
                    const ApiCall &call) {
  v1::ReleaseRequestRequest message;
  if (!readOrFail(call, message))
    return;
  const ContentHash content = ContentHash::parse(message.content());
  if (content.empty())
    return call.fail({.Code = ConnectCode::InvalidArgument,
                      .Message = "content is a hash of 32 hexadecimal digits",
                      .NotRun = true,
                      .Reason = "invalid"});
  propose(nodes, now, call, message.change(), ReleaseQuarantine{content});
}

bool serveChange(const LocalNodes &nodes, const Settings &settings,
                 TimePoint now, std::string_view method, const ApiCall &call) {
  if (method == "CreateAdapter") {
    v1::CreateAdapterRequest message;
    if (readOrFail(call, message))
      propose(
          nodes, now, call, message.change(),
          CreateAdapter{AdapterName(message.adapter()), message.base_model()});
  } else if (method == "CreateVersion") {
    v1::CreateVersionRequest message;
    if (readOrFail(call, message))
      propose(nodes, now, call, message.change(),
              CreateVersion{AdapterName(message.adapter()), message.version(),
                            message.source()});
  } else if (method == "DeclareLive") {
    v1::DeclareLiveRequest message;
    if (readOrFail(call, message))
      propose(
          nodes, now, call, message.change(),
          DeclareLive{AdapterName(message.adapter()),
                      {message.versions().begin(), message.versions().end()}});
  } else if (method == "SetKind") {
    v1::SetKindRequest message;
    if (readOrFail(call, message))
      propose(nodes, now, call, message.change(),
              SetKind{toRecord(message.kind())});
  } else if (method == "Drain" || method == "Undrain") {
    setDrained(nodes, now, call, method == "Drain");
  } else if (method == "EvacuateZone" || method == "RestoreZone") {
    evacuate(nodes, settings, now, call, method == "EvacuateZone");
  } else if (method == "ReleaseRequest") {
    releaseRequest(nodes, now, call);
  } else {
    return false;
  }
  return true;
}

} // namespace

bool serveOperatorCall(const LocalNodes &nodes, const Settings &settings,
                       TimePoint now, std::string_view method,
                       const ApiCall &call) {
  if (method == "Bootstrap") {
    bootstrap(nodes, now, call);
    return true;
  }
  if (!nodes.Entry)
    return false;
  if (method == "GetAdapter")
    getAdapter(nodes, call);
  else if (method == "ListKinds")
    listKinds(nodes, call);
  else if (method == "GetStatus")
    getStatus(nodes, settings, now, call);
  else if (method == "RemoveReplica")
    removeReplica(nodes, now, call);
  else
    return serveChange(nodes, settings, now, method, call);
  return true;
}

} // namespace pimentofront
