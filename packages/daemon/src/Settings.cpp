#include "Settings.h"

#include "SettingsReader.h"
#include "Terms.h"

#include <algorithm>

namespace pimentofront {
namespace {

constexpr std::uint64_t MaxCount = 1'000'000;

void readEntry(SettingsReader reader, Settings &settings) {
  EntryOptions &entry = settings.Entry.Entry;
  entry.AdmitTimeout =
      reader.milliseconds("admit_timeout_ms", entry.AdmitTimeout);
  entry.MaxRetries = static_cast<std::uint32_t>(
      reader.integer("max_retries", entry.MaxRetries, 0, 100));
  entry.MaxRequests =
      reader.integer("max_requests", entry.MaxRequests, 1, MaxCount);
  settings.Affinity.Choices = static_cast<std::uint32_t>(
      reader.integer("affinity_choices", settings.Affinity.Choices, 1, 64));
  settings.Affinity.PackingWeight =
      reader.real("packing_weight", settings.Affinity.PackingWeight, 0, 1000);
  settings.MaxBodyBytes =
      reader.integer("max_body_bytes", settings.MaxBodyBytes, 1024, 64U << 20);
  settings.CallerTimeout =
      reader.milliseconds("caller_timeout_ms", settings.CallerTimeout);
  settings.CallerBufferBytes = reader.integer(
      "caller_buffer_bytes", settings.CallerBufferBytes, 1024, 64U << 20);
  reader.reportUnreadKeys();
}

constexpr std::uint64_t Mebibyte = 1 << 20;
constexpr std::uint64_t MaxMebibytes = 1 << 20;

/// Reads the memory of the process; 0 is unknown.
void readMemory(SettingsReader &reader, Settings &settings) {
  const std::uint64_t memory = reader.integer("memory_mb", 0, 0, MaxMebibytes);
  if (memory > 0)
    settings.MemoryBytes = memory * Mebibyte;
}

/// Bounds on the bytes that an entry holds and has under way to one server.
void readBounds(SettingsReader &reader, Settings &settings) {
  constexpr std::uint64_t MinHeldMebibytes = 16;
  constexpr std::uint64_t DefaultServerMebibytes = 64;
  // The part of a process's memory that may hold bytes of callers and servers.
  constexpr double HeldShare = 0.4;
  ForwardOptions &forward = settings.Forward.Forward;
  readMemory(reader, settings);
  const bool slowReaders = platform::hasSlowReaders(reader.strings("terms"));
  const auto share = static_cast<std::uint64_t>(
      HeldShare * static_cast<double>(settings.MemoryBytes) / Mebibyte);
  const bool chosen = reader.has("held_bytes_mb");
  const std::uint64_t held = reader.integer(
      "held_bytes_mb", std::max(share, MinHeldMebibytes), 0, MaxMebibytes);
  const std::uint64_t server = reader.integer(
      "server_bytes_mb",
      held > 0 && (chosen || slowReaders) ? DefaultServerMebibytes : 0, 0,
      MaxMebibytes);
  if (held > 0 && held < MinHeldMebibytes)
    reader.addFault("held_bytes_mb", "expected 0 or at least 16");
  forward.Bytes.Limit = held * Mebibyte;
  forward.Bytes.KeepsHeadroom = true;
  // An answer is buffered up to this size before its caller gets any of it.
  forward.Bytes.AnswerReserve = forward.AnswerBufferLimit;
  forward.ServerBytes = server * Mebibyte;
  settings.Intake.CallerConnections =
      reader.integer("max_connections", 0, 0, MaxCount);
}

/// Limits on what is read from a backend server for one request.
void readResponseLimits(SettingsReader &reader, Settings &settings) {
  constexpr std::uint64_t Kibibyte = 1 << 10;
  constexpr std::uint64_t MaxKibibytes = 1 << 20;
  ResponseLimits &limits = settings.Responses;
  limits.MaxHeadBytes =
      reader.integer("answer_head_kb", limits.MaxHeadBytes / Kibibyte, 1,
                     MaxKibibytes) *
      Kibibyte;
  limits.MaxHeadTime =
      reader.milliseconds("answer_head_ms", limits.MaxHeadTime);
  limits.MaxBodyBytes =
      reader.integer("answer_mb", limits.MaxBodyBytes / Mebibyte, 1,
                     MaxMebibytes) *
      Mebibyte;
  limits.MaxUnusedBytes =
      reader.integer("unused_answer_kb", limits.MaxUnusedBytes / Kibibyte, 1,
                     MaxKibibytes) *
      Kibibyte;
  limits.MaxUnusedTime =
      reader.milliseconds("unused_answer_ms", limits.MaxUnusedTime);
  ForwardOptions &forward = settings.Forward.Forward;
  forward.MaxEventBytes =
      reader.integer("event_kb", forward.MaxEventBytes / Kibibyte, 1,
                     MaxKibibytes) *
      Kibibyte;
}

void readForward(SettingsReader reader, Settings &settings) {
  ForwardOptions &forward = settings.Forward.Forward;
  settings.ForwardAddress = reader.address("listen", true);
  forward.PermitTimeout =
      reader.milliseconds("permit_timeout_ms", forward.PermitTimeout);
  forward.RevocationBound =
      reader.milliseconds("revocation_ms", forward.RevocationBound);
  forward.EvacuationBound =
      reader.milliseconds("evacuation_ms", forward.EvacuationBound);
  forward.RetryShare = reader.real("retry_share", forward.RetryShare, 0, 1);
  forward.RetryReserve =
      reader.real("retry_reserve", forward.RetryReserve, 0, 100000);
  forward.QueuesPlain = reader.flag("plain_queue", forward.QueuesPlain);
  forward.Fetch.Enabled =
      reader.flag("fetch_prompt_parts", forward.Fetch.Enabled);
  PrefixRoutingOptions &prefix = settings.Prefix;
  prefix.OwnShare = reader.real("own_share", prefix.OwnShare, 0, 100);
  prefix.SpillShare = reader.real("spill_share", prefix.SpillShare, 0, 100);
  prefix.EnginesPerShare =
      reader.real("spread", prefix.EnginesPerShare, 0.01, 100);
  prefix.SpillChoices = static_cast<std::uint32_t>(
      reader.integer("spill_choices", prefix.SpillChoices, 0, 64));
  prefix.Shapes.Enabled = reader.flag("shape_placement", prefix.Shapes.Enabled);
  prefix.Balance.Enabled = reader.flag("pace_weights", prefix.Balance.Enabled);
  // Each entry takes its part of the reserve by the number of entries, which is
  // a few seconds out of date after an entry starts or stops. The margin keeps
  // the sum of the parts within the configured reserve meanwhile.
  constexpr double SafetyFactor = 0.8;
  forward.RetryReserve *= SafetyFactor;
  forward.Servers.ZonePreference =
      reader.real("zone_preference", forward.Servers.ZonePreference, 0, 1000);
  readBounds(reader, settings);
  readResponseLimits(reader, settings);
  reader.reportUnreadKeys();
}

void readServices(SettingsReader &reader, Settings &settings) {
  for (SettingsReader &it : reader.objects("services")) {
    ServiceAddress service{ServiceName(it.requiredText("name")),
                           it.address("address", true)};
    it.reportUnreadKeys();
    settings.Agent.Agent.Services.push_back(service.Name);
    settings.Services.push_back(service);
  }
}

OrderPolicy readOrder(SettingsReader &reader) {
  const std::string order = reader.text("request_order", "urgency");
  if (order == "tokens")
    return OrderPolicy::Tokens;
  if (order == "kind")
    return OrderPolicy::Kind;
  if (order != "urgency")
    reader.addFault("request_order", "expected urgency, tokens or kind");
  return OrderPolicy::Urgency;
}

void readAgent(SettingsReader reader, Settings &settings) {
  AgentOptions &agent = settings.Agent.Agent;
  settings.EngineAddress = reader.address("engine", false);
  agent.BaseModel = reader.text("base_model", "");
  agent.Slots =
      static_cast<std::uint32_t>(reader.integer("slots", agent.Slots, 1, 4096));
  agent.BatchCapacity = static_cast<std::uint32_t>(
      reader.integer("batch_capacity", agent.BatchCapacity, 1, 4096));
  agent.QueueLimit = static_cast<std::uint32_t>(
      reader.integer("queue_limit", agent.QueueLimit, 1, MaxCount));
  agent.Order = readOrder(reader);
  agent.ServiceLimit = static_cast<std::uint32_t>(
      reader.integer("service_limit", agent.ServiceLimit, 1, MaxCount));
  PopularityOptions &popularity = agent.Popularity;
  popularity.HalfLife =
      reader.milliseconds("popularity_half_life_ms", popularity.HalfLife);
  popularity.SessionHalfLife =
      reader.milliseconds("session_half_life_ms", popularity.SessionHalfLife);
  agent.StallShare = reader.real("stall_share", agent.StallShare, 0.01, 1);
  agent.BatchingShare =
      reader.real("company_share", agent.BatchingShare, 0, 0.5);
  agent.BatchingWait =
      reader.milliseconds("company_limit_ms", agent.BatchingWait);
  agent.SpillDelay = reader.milliseconds("spill_delay_ms", agent.SpillDelay);
  settings.EngineProbePeriod =
      reader.milliseconds("engine_probe_ms", settings.EngineProbePeriod);
  agent.EngineSettleTime =
      reader.milliseconds("engine_settle_ms", agent.EngineSettleTime);
  const std::string interface = reader.text("engine_interface", "completions");
  settings.UsesEngineOrders = interface == "orders";
  if (!settings.UsesEngineOrders && interface != "completions")
    reader.addFault("engine_interface", "expected completions or orders");
  readServices(reader, settings);
  if (settings.EngineAddress.empty() != agent.BaseModel.empty())
    reader.addFault("engine",
                    "engine and base_model go together: set both or neither");
  if (settings.EngineAddress.empty() && settings.Services.empty())
    reader.addFault("services",
                    "an agent needs an engine or at least one service");
  if (popularity.HalfLife <= Duration::zero())
    reader.addFault("popularity_half_life_ms", "expected more than 0");
  if (popularity.SessionHalfLife <= Duration::zero())
    reader.addFault("session_half_life_ms", "expected more than 0");
  reader.reportUnreadKeys();
}

/// Initial number of concurrent loads when the store's capacity is measured
/// instead of configured. With fewer, a dozen agents get their loads too late.
constexpr std::uint32_t InitialMeasuredLoads = 8;

void readReplica(SettingsReader reader, Settings &settings) {
  ReplicaNodeOptions &replica = settings.Replica;
  settings.DataFolder = reader.requiredText("folder");
  settings.Bootstrap = reader.flag("bootstrap", false);
  replica.Loads.MeasuresCapacity = reader.flag("measured_loads", false);
  if (replica.Loads.MeasuresCapacity)
    replica.Loads.Concurrent = InitialMeasuredLoads;
  replica.Log.WantedVoters = static_cast<std::uint32_t>(
      reader.integer("wanted_voters", replica.Log.WantedVoters, 1, 9));
  if (reader.has("tolerated_losses")) {
    // A majority of the voters must remain after that many losses.
    const auto losses =
        static_cast<std::uint32_t>(reader.integer("tolerated_losses", 1, 0, 4));
    replica.Log.WantedVoters = 2 * losses + 1;
    replica.InitialVoters = replica.Log.WantedVoters;
  }
  replica.Log.MayVote = reader.flag("may_vote", replica.Log.MayVote);
  replica.Log.HeartbeatPeriod =
      reader.milliseconds("heartbeat_ms", replica.Log.HeartbeatPeriod);
  replica.Log.ElectionTimeout =
      reader.milliseconds("election_timeout_ms", replica.Log.ElectionTimeout);
  // The last repetition may be in transit for up to the duration of a call.
  constexpr Duration MaxCallDuration = std::chrono::seconds(1);
  replica.OrderResendWindow =
      MaxCallDuration +
      reader.milliseconds("orders_resent_ms",
                          replica.OrderResendWindow - MaxCallDuration);
  AllotmentRules &allotments = replica.Allotments;
  constexpr double MaxWindowSeconds = 3600;
  allotments.Window = fromSeconds(reader.real(
      "allotment_window_s", toSeconds(allotments.Window), 1, MaxWindowSeconds));
  allotments.Overshoot =
      reader.real("allotment_overshoot", allotments.Overshoot, 0, 10);
  allotments.Slack = reader.real("allotment_slack", allotments.Slack, 0, 1e12);
  // A lowered limit has to be in force one window after it is known, so a
  // lease lasts half a window at most.
  allotments.Lease = std::min(allotments.Lease, allotments.Window / 2);
  replica.CompactAfterEntries = reader.integer(
      "compact_after_entries", replica.CompactAfterEntries, 16, MaxCount);
  if (replica.Log.ElectionTimeout < 3 * replica.Log.HeartbeatPeriod)
    reader.addFault("election_timeout_ms",
                    "expected at least three times heartbeat_ms");
  if (replica.Log.WantedVoters % 2 == 0)
    reader.addFault("wanted_voters", "expected an odd number");
  reader.reportUnreadKeys();
}

void readZones(SettingsReader &reader, Settings &settings) {
  for (const auto &[zone, region] : reader.texts("zones"))
    settings.Zones[ZoneName(zone)] = RegionName(region);
  settings.Forward.Forward.Regions = settings.Zones;
  if (!isPossibleZone(settings.Zones, settings.Zone))
    reader.addFault("zones", "expected a list that contains this host's zone");
}

/// Replaces the port of each address, for lists that name the replicas' hosts
/// with the port of another service.
void replacePort(std::uint16_t port, std::vector<std::string> &addresses) {
  for (std::string &it : addresses)
    it = it.substr(0, it.rfind(':') + 1) + std::to_string(port);
}

void readTimings(SettingsReader &reader, Settings &settings) {
  ConfigurationCopyOptions &copy = settings.Entry.Configuration;
  copy.Lease = reader.milliseconds("configuration_lease_ms", copy.Lease);
  // The configuration's confirmation is renewed well before its lease expires.
  constexpr int ProbesInLease = 4;
  settings.Entry.ProbePeriod =
      reader.milliseconds("probe_period_ms", copy.Lease / ProbesInLease);
  settings.Replica.Members.Lease =
      reader.milliseconds("member_lease_ms", settings.Replica.Members.Lease);
  // The lease survives two lost heartbeats in a row and a late third one.
  constexpr double HeartbeatsInLease = 10.0 / 3;
  const Duration heartbeat =
      reader.milliseconds("server_heartbeat_ms", Duration::zero());
  settings.Replica.Members.ServerLease =
      std::max(settings.Replica.Members.Lease,
               fromSeconds(toSeconds(heartbeat) * HeartbeatsInLease));
  settings.Agent.RenewPeriod =
      reader.milliseconds("renew_period_ms", settings.Agent.RenewPeriod);
  settings.StopNotice =
      reader.milliseconds("stop_notice_ms", settings.StopNotice);
  settings.StopLimit = reader.milliseconds("stop_limit_ms", settings.StopLimit);
  if (reader.has("grace_s")) {
    // The stop has to finish before the platform kills the process at the end
    // of its grace time.
    constexpr double StopMarginSeconds = 0.3;
    constexpr double MaxGraceSeconds = 3600;
    const double grace = reader.real("grace_s", 1, 1, MaxGraceSeconds);
    settings.StopLimit = fromSeconds(grace - StopMarginSeconds);
  }
  if (copy.Lease < 2 * settings.Entry.ProbePeriod)
    reader.addFault("configuration_lease_ms",
                    "expected at least twice probe_period_ms");
  if (settings.Replica.Members.Lease < 2 * settings.Agent.RenewPeriod)
    reader.addFault("member_lease_ms",
                    "expected at least twice renew_period_ms");
}

void readLog(SettingsReader reader, Settings &settings) {
  settings.LogFile = reader.text("file", settings.LogFile);
  settings.LogLevel = reader.text("level", settings.LogLevel);
  const std::string &level = settings.LogLevel;
  if (level != "debug" && level != "info" && level != "warn" &&
      level != "error")
    reader.addFault("level", "expected debug, info, warn or error");
  reader.reportUnreadKeys();
}

} // namespace

IntakeLimits Settings::intakeFor(std::size_t descriptors) const {
  const std::size_t allowed =
      MaxDescriptors > 0 ? std::min(MaxDescriptors, descriptors) : descriptors;
  IntakeLimits result = planIntake({.MemoryBytes = MemoryBytes,
                                    .Descriptors = allowed,
                                    .Forwards = IsForward,
                                    .ServesCalls = IsEntry,
                                    .ServesOperators = IsReplica || IsAgent});
  const auto choose = [](std::size_t &limit, std::size_t chosen) {
    if (chosen > 0)
      limit = chosen;
  };
  choose(result.CallerConnections, Intake.CallerConnections);
  choose(result.HttpConnections, Intake.HttpConnections);
  choose(result.HttpBytes, Intake.HttpBytes);
  return result;
}

Settings Settings::parse(const std::string &file, std::string_view text,
                         Findings &findings) {
  Settings settings;
  const SettingsDocument document =
      SettingsDocument::parse(file, text, findings);
  if (!document.Root.is_object())
    return settings;
  SettingsReader reader(document, "", findings);
  settings.Host = HostName(reader.requiredText("host"));
  settings.Zone = ZoneName(reader.requiredText("zone"));
  settings.HttpAddress = reader.address("http", true);
  settings.PeerAddress = reader.address("peers", true);
  settings.PeerListenAddress = reader.address("peers_listen", false);
  if (settings.PeerListenAddress.empty())
    settings.PeerListenAddress = settings.PeerAddress;
  settings.Replicas = reader.addresses("replicas");
  settings.LoadsPerSecond =
      reader.real("loads_per_second", settings.LoadsPerSecond, 0.01, 100000);
  settings.IsEntry = reader.has("entry");
  settings.IsAgent = reader.has("agent");
  settings.IsReplica = reader.has("replica");
  settings.IsForward = reader.has("forward");
  const auto replicaPort =
      static_cast<std::uint16_t>(reader.integer("replica_port", 0, 0, 65535));
  if (replicaPort != 0)
    replacePort(replicaPort, settings.Replicas);
  readMemory(reader, settings);
  settings.MaxDescriptors = reader.integer("max_descriptors", 0, 0, MaxCount);
  settings.Intake.HttpConnections =
      reader.integer("http_connections", 0, 0, MaxCount);
  settings.Intake.HttpBytes =
      reader.integer("http_bytes_mb", 0, 0, MaxMebibytes) * Mebibyte;
  readTimings(reader, settings);
  readZones(reader, settings);
  if (SettingsReader log = reader.object("log"); reader.has("log"))
    readLog(log, settings);
  if (SettingsReader entry = reader.object("entry"); settings.IsEntry)
    readEntry(entry, settings);
  if (SettingsReader forward = reader.object("forward"); settings.IsForward)
    readForward(forward, settings);
  if (SettingsReader agent = reader.object("agent"); settings.IsAgent)
    readAgent(agent, settings);
  if (SettingsReader replica = reader.object("replica"); settings.IsReplica)
    readReplica(replica, settings);
  if (!settings.IsEntry && !settings.IsAgent && !settings.IsReplica &&
      !settings.IsForward)
    reader.addFault("entry",
                    "at least one role is required: entry, forward, agent "
                    "or replica");
  if (settings.Replicas.empty())
    reader.addFault("replicas",
                    "the address of at least one replica is required");
  if (!settings.HttpAddress.empty() &&
      settings.HttpAddress == settings.PeerAddress)
    reader.addFault("peers", "the same address as http");
  reader.reportUnreadKeys();
  return settings;
}

} // namespace pimentofront
