#include "pimentofront/Testkit.h"

#include <algorithm>
#include <sstream>

namespace pimentofront::testkit {
namespace {

using Words = std::vector<std::string>;

Words split(const std::string &text, char separator) {
  Words words;
  std::stringstream stream(text);
  for (std::string word; std::getline(stream, word, separator);)
    if (!word.empty())
      words.push_back(word);
  return words;
}

const char *nameOf(FinalKind kind) {
  constexpr const char *Names[] = {"answered", "refused", "unknown",
                                   "timed_out", "failed"};
  return Names[static_cast<std::size_t>(kind)];
}

const char *nameOf(CommandResult result) {
  constexpr const char *Names[] = {
      "accepted",         "conflict",        "not_found",
      "invalid",          "id_reused",       "in_progress",
      "already_answered", "already_unknown", "quarantined"};
  return Names[static_cast<std::size_t>(result)];
}

/// One parsed line of a scenario.
struct Line {
  std::string Location;
  std::string Action;
  Words Positional;
  std::map<std::string, std::string> Named;

  std::string word(std::size_t i) const {
    return i < Positional.size() ? Positional[i] : "";
  }
  std::string named(const std::string &key, const std::string &fallback) const {
    const auto it = Named.find(key);
    return it == Named.end() ? fallback : it->second;
  }
  std::uint32_t number(const std::string &key, std::uint32_t fallback) const {
    return static_cast<std::uint32_t>(
        std::stoul(named(key, std::to_string(fallback))));
  }
};

Line parseLine(const std::string &location, const Words &words) {
  Line line{.Location = location, .Action = words[1]};
  for (std::size_t i = 2; i < words.size(); ++i) {
    const std::size_t equalsSign = words[i].find('=');
    if (words[i] == "via" && i + 1 < words.size())
      line.Named["via"] = words[++i];
    else if (equalsSign != std::string::npos)
      line.Named[words[i].substr(0, equalsSign)] =
          words[i].substr(equalsSign + 1);
    else
      line.Positional.push_back(words[i]);
  }
  return line;
}

} // namespace

struct Scenario::Impl {
  explicit Impl(std::uint64_t seed)
      : Sim({.Seed = seed, .InZone = std::chrono::microseconds(200)}) {}

  using Action = void (Impl::*)(const Line &);
  static const std::map<std::string, Action> &actions();

  Simulation Sim;
  ScenarioResult Result;
  std::vector<std::string> Replicas;
  std::map<std::string, std::string> Commands;
  std::uint64_t LastCommand = 0;

  void addError(const Line &line, const std::string &what) {
    Result.Errors.add(line.Location, line.Action + ": " + what);
  }

  SimulatedProcess *find(const Line &line, const std::string &name) {
    for (SimulatedProcess *it : Sim.processes())
      if (it->Spec.Host.str() == name)
        return it;
    addError(line, "no process '" + name + "'");
    return nullptr;
  }

  SimulatedProcess *leader() { return Sim.leader(); }

  //===--------------------------------------------------------------------===//
  // Processes and faults
  //===--------------------------------------------------------------------===//

  void addProcess(const Line &line) {
    const HostName host(line.word(0));
    ProcessSpec spec{.Host = host, .Zone = ZoneName(line.word(1))};
    spec.IsReplica = line.Action.ends_with("replica");
    spec.IsEntry = line.Action.starts_with("entry");
    spec.IsAgent = line.Action == "agent";
    spec.Entry = {.Host = host, .Replicas = Replicas};
    spec.Replica.Log.Host = host;
    spec.Replica.Log.Address = host.str();
    spec.Replica.PeerAddresses = Replicas;
    spec.Replica.CompactAfterEntries = 64;
    spec.Agent = {.Agent = {.Host = host,
                            .BaseModel = "base",
                            .Slots = line.number("slots", 2),
                            .BatchCapacity = 4},
                  .Zone = spec.Zone,
                  .Address = host.str(),
                  .Replicas = Replicas};
    for (const std::string &it : split(line.named("services", ""), ','))
      spec.Agent.Agent.Services.emplace_back(it);
    spec.Engine = {.Slots = spec.Agent.Agent.Slots,
                   .BatchCapacity = spec.Agent.Agent.BatchCapacity};
    spec.MakeRouting = [] {
      return std::make_unique<AffinityRouting>(AffinityOptions{});
    };
    spec.MakeEviction = [] { return std::make_unique<LeastPopular>(); };
    spec.MakeGate = [] { return std::make_unique<ScheduledLoads>(4, 3); };
    Sim.start(Sim.add(spec));
  }

  void start(const Line &line) {
    if (SimulatedProcess *it = find(line, line.word(0)))
      Sim.start(*it);
  }
  void kill(const Line &line) {
    if (SimulatedProcess *it = find(line, line.word(0)))
      Sim.kill(*it);
  }
  void freeze(const Line &line) {
    if (SimulatedProcess *it = find(line, line.word(0)))
      Sim.freeze(*it);
  }
  void wake(const Line &line) {
    if (SimulatedProcess *it = find(line, line.word(0)))
      Sim.wake(*it);
  }
  void loseDisk(const Line &line) {
    if (SimulatedProcess *it = find(line, line.word(0)))
      Sim.loseDisk(*it);
  }
  void fullDisk(const Line &line) {
    if (SimulatedProcess *it = find(line, line.word(0)); it && it->Disk)
      it->Disk->Full = true;
  }
  void leave(const Line &line) {
    if (SimulatedProcess *it = find(line, line.word(0)); it && it->Agent)
      it->Agent->leave(Sim.now());
  }
  void killLeader(const Line &) {
    if (SimulatedProcess *it = leader())
      Sim.kill(*it);
  }
  void freezeLeader(const Line &) {
    if (SimulatedProcess *it = leader())
      Sim.freeze(*it);
  }
  void isolateLeader(const Line &) {
    if (const SimulatedProcess *it = leader())
      isolateHost(it->Spec.Host);
  }
  void engineRestart(const Line &line) {
    if (SimulatedProcess *it = find(line, line.word(0)); it && it->Engine)
      it->Engine->restart();
  }
  void engineDown(const Line &line) {
    if (SimulatedProcess *it = find(line, line.word(0)); it && it->Engine)
      it->Engine->setDown(true);
  }
  void engineUp(const Line &line) {
    if (SimulatedProcess *it = find(line, line.word(0)); it && it->Engine)
      it->Engine->setDown(false);
  }
  void cut(const Line &line) {
    const HostName a(line.word(0));
    const HostName b(line.word(1));
    Sim.cut(a, b);
    if (line.word(2) != "one-way")
      Sim.cut(b, a);
  }
  void isolateHost(const HostName &host) {
    for (const SimulatedProcess *it : Sim.processes()) {
      if (it->Spec.Host == host)
        continue;
      Sim.cut(host, it->Spec.Host);
      Sim.cut(it->Spec.Host, host);
    }
  }
  void isolate(const Line &line) { isolateHost(HostName(line.word(0))); }
  void heal(const Line &) { Sim.healAll(); }
  void slow(const Line &line) {
    Sim.slow(HostName(line.word(0)), HostName(line.word(1)),
             std::chrono::milliseconds(std::stoi(line.word(2))));
  }
  void bootstrap(const Line &line) {
    SimulatedProcess *it = find(line, line.word(0));
    if (it && it->Replica)
      it->Replica->bootstrap(Sim.now());
  }

  //===--------------------------------------------------------------------===//
  // Operators and callers
  //===--------------------------------------------------------------------===//

  void propose(const Line &line, const std::string &id, CommandBody body,
               std::function<void(Revision)> accepted = {},
               std::function<void()> declined = {}) {
    SimulatedProcess *entry = find(line, line.named("via", ""));
    if (!entry)
      return;
    const std::string name =
        id.empty() ? "command-" + std::to_string(++LastCommand) : id;
    Commands[name] = "undecided";
    const Command command{.Id = CommandId(name),
                          .Operator = OperatorName(line.named("by", "anna")),
                          .Body = std::move(body)};
    Sim.command(*entry, command, [=, this](const auto &outcome) {
      if (!outcome)
        return;
      Commands[name] = nameOf(outcome->Result);
      if (!outcome->Winner.empty())
        Commands[name] += ":" + outcome->Winner.str();
      if (outcome->Result == CommandResult::Accepted && accepted)
        accepted(outcome->At);
      if (outcome->Result != CommandResult::Accepted && declined)
        declined();
    });
  }

  void proposeLive(const Line &line, const std::string &id,
                   const AdapterName &adapter,
                   const std::vector<VersionNumber> &versions) {
    Sim.RequestLedger.recordProposal(adapter, versions);
    propose(
        line, id, DeclareLive{adapter, versions},
        [=, this](Revision at) {
          Sim.RequestLedger.recordAccepted(Sim.now(), adapter, versions, at);
        },
        [=, this] { Sim.RequestLedger.recordDeclined(adapter, versions); });
  }

  void adapter(const Line &line) {
    const AdapterName name(line.word(0));
    const std::string source = line.named("source", "store://" + name.str());
    propose(line, "", CreateAdapter{name, "base"}, [=, this](Revision) {
      propose(line, "", CreateVersion{name, 1, source},
              [=, this](Revision) { proposeLive(line, "", name, {1}); });
    });
  }
  void version(const Line &line) {
    const auto number = static_cast<VersionNumber>(std::stoul(line.word(1)));
    propose(line, line.named("id", ""),
            CreateVersion{AdapterName(line.word(0)), number,
                          "store://" + line.named("by", "anna")});
  }
  void live(const Line &line) {
    std::vector<VersionNumber> versions;
    for (const std::string &it : split(line.word(1), ','))
      versions.push_back(static_cast<VersionNumber>(std::stoul(it)));
    proposeLive(line, line.named("id", ""), AdapterName(line.word(0)),
                versions);
  }
  void drain(const Line &line) {
    propose(line, line.named("id", ""),
            SetDrained{HostName(line.word(0)), line.Action == "drain"});
  }
  void kind(const Line &line) {
    propose(line, line.named("id", ""),
            SetKind{{.Name = KindName(line.word(0)),
                     .Weight = line.number("weight", 1)}});
  }
  void changes(const Line &line) {
    const int n = std::stoi(line.word(0));
    for (int i = 0; i < n; ++i)
      propose(line, "", SetKind{{.Name = KindName("scratch")}});
  }

  void request(const Line &line) {
    SimulatedProcess *entry = find(line, line.named("via", ""));
    if (!entry)
      return;
    const std::uint32_t seconds = line.number("timeout", 30);
    Sim.request(*entry, {.Id = RequestId(line.word(0)),
                         .Caller = CallerName("club"),
                         .Kind = KindName(line.named("kind", "usual")),
                         .Adapter = AdapterName(line.word(1)),
                         .Version = line.number("version", 0),
                         .Prompt = "prompt of " + line.word(0),
                         .MaxTokens = line.number("tokens", 20),
                         .Timeout = std::chrono::seconds(seconds)});
  }
  void order(const Line &line) {
    SimulatedProcess *entry = find(line, line.named("via", ""));
    if (!entry)
      return;
    const std::uint32_t seconds = line.number("timeout", 10);
    Sim.request(*entry,
                {.Id = RequestId(line.word(0)),
                 .Caller = CallerName("club"),
                 .Kind = KindName("usual"),
                 .Service = ServiceName("stock"),
                 .Method = "reserve",
                 .Payload = line.named("payload", "one of " + line.word(0)),
                 .Idempotent = false,
                 .IssuedAtMilliseconds = Simulation({}).milliseconds(),
                 .Timeout = std::chrono::seconds(seconds)});
  }

  //===--------------------------------------------------------------------===//
  // Expectations
  //===--------------------------------------------------------------------===//

  /// \returns the record of the last submission of request \p id, or null.
  const RequestRecord *lastSend(const std::string &id) const {
    const RequestRecord *last = nullptr;
    for (const auto &[key, it] : Sim.RequestLedger.requests())
      if (it.Request.Id.str() == id)
        last = &it;
    return last;
  }

  void expectOutcome(const Line &line) {
    const RequestRecord *record = lastSend(line.word(1));
    if (!record)
      return addError(line, "no such request was sent: " + line.word(1));
    const std::string got =
        record->Ended ? nameOf(record->Answer.Kind) : "nothing";
    for (const std::string &it : split(line.word(0), '|'))
      if (it == got || (it == "ended" && record->Ended))
        return;
    addError(line, line.word(1) + " got " + got + " (" +
                       refusalReasonName(record->Answer.Reason) + ", " +
                       record->Answer.Payload + "), expected " + line.word(0));
  }

  bool inForce() const {
    Revision newest = 0;
    for (SimulatedProcess *it : const_cast<Simulation &>(Sim).processes())
      if (it->Alive && it->Replica)
        newest =
            std::max(newest, it->Replica->state().configuration().revision());
    for (SimulatedProcess *it : const_cast<Simulation &>(Sim).processes())
      if (it->Alive && it->Entry &&
          it->Entry->configuration().revision() != newest)
        return false;
    return true;
  }

  void expect(const Line &line) {
    const std::string what = line.word(0);
    if (what == "leader") {
      if (!leader())
        addError(line, "there is no leader");
    } else if (what == "ready" || what == "not-ready") {
      const SimulatedProcess *it = find(line, line.word(1));
      const bool ready = it && it->Entry && it->Entry->ready(Sim.now());
      if (ready != (what == "ready"))
        addError(line, line.word(1) + (ready ? " is ready" : " isn't ready"));
    } else if (what == "in-force") {
      if (!inForce())
        addError(line, "an entry lacks the newest revision");
    } else if (what == "voters") {
      const SimulatedProcess *it = leader();
      const auto n =
          !it ? 0
              : std::ranges::count(it->Replica->log().group().Replicas, false,
                                   &ReplicaDescriptor::Learner);
      if (std::to_string(n) != line.word(1))
        addError(line, "there are " + std::to_string(n) + " voters");
    } else if (what == "runs") {
      const auto n = Sim.RequestLedger.runCount(RequestId(line.word(1)));
      if (std::to_string(n) != line.word(2))
        addError(line, line.word(1) + " ran " + std::to_string(n) + " times");
    } else if (what == "from") {
      const RequestRecord *it = lastSend(line.word(1));
      if (!it || it->Answer.Host.str() != line.word(2))
        addError(line,
                 "answered by " + (it ? it->Answer.Host.str() : "nobody"));
    } else if (what == "one-accepted") {
      const auto accepted =
          std::ranges::count_if(line.Positional, [&](const std::string &it) {
            return Commands.contains(it) && Commands[it] == "accepted";
          });
      if (accepted != 1)
        addError(line, std::to_string(accepted) + " were accepted");
    } else if (what == "command") {
      const std::string got = Commands[line.word(1)];
      const Words allowed = split(line.word(2), '|');
      if (std::ranges::find(allowed, got) == allowed.end())
        addError(line,
                 line.word(1) + " is " + got + ", expected " + line.word(2));
    } else {
      expectOutcome(line);
    }
  }

  //===--------------------------------------------------------------------===//
  // Execution
  //===--------------------------------------------------------------------===//

  /// Checks the invariants of the final state.
  void checkEnd() {
    if (const SimulatedProcess *it = leader())
      Sim.RequestLedger.checkState(Sim.now(),
                                   it->Replica->state().configuration());
  }

  void logRequests() {
    for (const auto &[key, it] : Sim.RequestLedger.requests())
      Result.RunLog += it.Request.Id.str() + ": " +
                       (it.Ended ? nameOf(it.Answer.Kind) : "nothing") + " " +
                       refusalReasonName(it.Answer.Reason) + " after " +
                       std::to_string(toSeconds(it.EndedAt - it.SentAt)) +
                       " s, " + std::to_string(it.Answer.Attempts) +
                       " attempts, by " + it.Answer.Host.str() + "\n";
  }

  /// Logs the final state of each process.
  void logProcesses() {
    for (SimulatedProcess *it : Sim.processes()) {
      std::string text = it->Spec.Host.str() + ":";
      if (!it->Alive)
        text += " dead";
      if (it->Frozen)
        text += " frozen";
      if (it->Alive && it->Replica) {
        const ReplicaStatus status = it->Replica->status(Sim.now());
        text += " replica " + std::to_string(status.Identity) + " term " +
                std::to_string(status.Term) + " commit " +
                std::to_string(status.CommitIndex) + " last " +
                std::to_string(it->Replica->log().lastIndex()) + " revision " +
                std::to_string(status.Current) +
                (status.Leads ? " leads" : "") + " group";
        for (const ReplicaDescriptor &replica : status.Group)
          text += " " + replica.Host.str() + "/" + std::to_string(replica.Id) +
                  (replica.Learner ? "(learner)" : "");
      }
      if (it->Alive && it->Entry)
        text += " entry revision " +
                std::to_string(it->Entry->configuration().revision()) +
                (it->Entry->ready(Sim.now()) ? " ready" : " not ready");
      Result.RunLog += text + "\n";
    }
  }

  void perform(const Line &line) {
    const auto it = actions().find(line.Action);
    if (it == actions().end())
      return addError(line, "unknown action");
    (this->*it->second)(line);
  }
};

const std::map<std::string, Scenario::Impl::Action> &Scenario::Impl::actions() {
  static const std::map<std::string, Action> All = {
      {"replica", &Impl::addProcess},
      {"entry", &Impl::addProcess},
      {"entry+replica", &Impl::addProcess},
      {"agent", &Impl::addProcess},
      {"start", &Impl::start},
      {"kill", &Impl::kill},
      {"freeze", &Impl::freeze},
      {"wake", &Impl::wake},
      {"lose-disk", &Impl::loseDisk},
      {"full-disk", &Impl::fullDisk},
      {"leave", &Impl::leave},
      {"kill-leader", &Impl::killLeader},
      {"freeze-leader", &Impl::freezeLeader},
      {"isolate-leader", &Impl::isolateLeader},
      {"engine-restart", &Impl::engineRestart},
      {"engine-down", &Impl::engineDown},
      {"engine-up", &Impl::engineUp},
      {"cut", &Impl::cut},
      {"isolate", &Impl::isolate},
      {"heal", &Impl::heal},
      {"slow", &Impl::slow},
      {"bootstrap", &Impl::bootstrap},
      {"adapter", &Impl::adapter},
      {"version", &Impl::version},
      {"live", &Impl::live},
      {"drain", &Impl::drain},
      {"undrain", &Impl::drain},
      {"kind", &Impl::kind},
      {"changes", &Impl::changes},
      {"request", &Impl::request},
      {"order", &Impl::order},
      {"expect", &Impl::expect}};
  return All;
}

Scenario::Scenario(std::uint64_t seed) : State(new Impl(seed)) {}
Scenario::~Scenario() = default;

ScenarioResult Scenario::run(const std::string &name, std::string_view text) {
  std::stringstream lines{std::string(text)};
  std::vector<std::pair<Duration, Line>> steps;
  Duration at = Duration::zero();
  std::size_t number = 0;
  for (std::string raw; std::getline(lines, raw);) {
    const std::string location = name + ":" + std::to_string(++number);
    const Words words = split(raw.substr(0, raw.find('#')), ' ');
    if (words.empty())
      continue;
    if (words.size() < 2) {
      State->Result.Errors.add(location, "expected a time and an action");
      continue;
    }
    const bool relative = words[0][0] == '+';
    const Duration time = fromSeconds(std::stod(words[0]));
    at = relative ? at + time : time;
    Line line = parseLine(location, words);
    if (line.Action.ends_with("replica"))
      State->Replicas.push_back(line.word(0));
    steps.emplace_back(at, std::move(line));
  }
  std::ranges::stable_sort(steps, {}, [](const auto &it) { return it.first; });
  const TimePoint begin = State->Sim.now();
  for (const auto &[time, line] : steps) {
    State->Sim.runUntil(begin + time);
    State->perform(line);
  }
  State->checkEnd();
  State->logRequests();
  State->logProcesses();
  State->Result.Violations = State->Sim.RequestLedger.violations();
  return State->Result;
}

} // namespace pimentofront::testkit
