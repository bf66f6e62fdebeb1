//===- main.cpp - The operators' command line -------------------*- C++ -*-===//

#include "Client.h"
#include "TimeLine.h"
#include "pimentofront.pb.h"

#include <charconv>
#include <cstdio>
#include <fstream>
#include <getopt.h>
#include <random>
#include <sstream>

using namespace pimentofront;

namespace {

constexpr const char *Help =
    "Usage: pimentofrontctl [OPTIONS] COMMAND [ARGUMENTS]\n"
    "\n"
    "Changes (repeated with the same --command-id, they return the first "
    "outcome):\n"
    "  create-adapter NAME BASE-MODEL\n"
    "  create-version NAME NUMBER SOURCE\n"
    "  declare-live NAME [NUMBER...]     the live versions; none retires the "
    "adapter\n"
    "  set-kind NAME                     with --weight, --window-ms, --limit,\n"
    "                                    --caller-limit\n"
    "  drain HOST, undrain HOST          take a backend server out, or back "
    "in\n"
    "  evacuate ZONE, restore ZONE       the same for all servers of a zone\n"
    "  release CONTENT                   release a watched or quarantined "
    "request,\n"
    "                                    or a prompt part\n"
    "  bootstrap                         form the replica group with this "
    "replica, once\n"
    "  remove-replica HOST               remove a replica permanently\n"
    "Queries:\n"
    "  adapter NAME, kinds, status, accounts\n"
    "  timeline FILE...                  merge logs; with --request, --page\n"
    "  explain REQUEST FILE...           a request's events, and how it ended\n"
    "Calls, to test a deployment:\n"
    "  generate ADAPTER PROMPT           with --kind, --version, "
    "--max-tokens,\n"
    "                                    --request, --caller\n"
    "  call SERVICE METHOD PAYLOAD       with --kind, --request, --caller,\n"
    "                                    --issued-at-ms, --idempotent\n"
    "\n"
    "Options:\n"
    "  -e, --entry IP:PORT    the process to call (default 127.0.0.1:8080)\n"
    "  -o, --operator NAME    recorded author of a change (default: $USER)\n"
    "  -i, --command-id ID    id of a change (default: random)\n"
    "  -b, --builds-on N      revision of the record that the change is "
    "based on\n"
    "  -h, --help, -V, --version-of-program\n";

constexpr int Good = 0;
constexpr int Failed = 1;
constexpr int Usage = 2;

struct Arguments {
  std::string Entry = "127.0.0.1:8080";
  std::string Operator;
  std::string CommandId;
  std::uint64_t BuildsOn = 0;
  std::uint32_t Weight = 1;
  std::uint64_t WindowMs = 30'000;
  std::uint32_t Limit = 0;
  std::uint32_t CallerLimit = 0;
  std::string Kind = "default";
  std::uint32_t Version = 0;
  std::uint32_t MaxTokens = 64;
  std::string Request;
  std::string Caller = "pimentofrontctl";
  std::uint64_t IssuedAtMs = 0;
  bool Idempotent = false;
  std::string Page;
  std::vector<std::string> Operands;
};

std::string randomId() {
  std::random_device device;
  char buf[32];
  std::snprintf(buf, sizeof(buf), "%08x%08x", device(), device());
  return buf;
}

template <class Number> bool parseNumber(const char *text, Number &value) {
  const std::string_view view = text;
  const auto parsed =
      std::from_chars(view.data(), view.data() + view.size(), value);
  return parsed.ec == std::errc() && parsed.ptr == view.data() + view.size();
}

void fill(v1::Change &change, const Arguments &arguments) {
  change.set_command_id(arguments.CommandId.empty() ? randomId()
                                                    : arguments.CommandId);
  change.set_operator_(arguments.Operator);
  change.set_builds_on(arguments.BuildsOn);
}

int exitCode(bool good) { return good ? Good : Failed; }

int usage() {
  std::fputs(Help, stderr);
  return Usage;
}

//===----------------------------------------------------------------------===//
// Commands
//===----------------------------------------------------------------------===//

int createAdapter(Client &client, const Arguments &arguments) {
  if (arguments.Operands.size() != 3)
    return usage();
  v1::CreateAdapterRequest request;
  fill(*request.mutable_change(), arguments);
  request.set_adapter(arguments.Operands[1]);
  request.set_base_model(arguments.Operands[2]);
  return exitCode(client.call("Operator/CreateAdapter", request));
}

int createVersion(Client &client, const Arguments &arguments) {
  std::uint32_t number = 0;
  if (arguments.Operands.size() != 4 ||
      !parseNumber(arguments.Operands[2].c_str(), number))
    return usage();
  v1::CreateVersionRequest request;
  fill(*request.mutable_change(), arguments);
  request.set_adapter(arguments.Operands[1]);
  request.set_version(number);
  request.set_source(arguments.Operands[3]);
  return exitCode(client.call("Operator/CreateVersion", request));
}

int declareLive(Client &client, const Arguments &arguments) {
  if (arguments.Operands.size() < 2)
    return usage();
  v1::DeclareLiveRequest request;
  fill(*request.mutable_change(), arguments);
  request.set_adapter(arguments.Operands[1]);
  for (std::size_t i = 2; i < arguments.Operands.size(); ++i) {
    std::uint32_t number = 0;
    if (!parseNumber(arguments.Operands[i].c_str(), number))
      return usage();
    request.add_versions(number);
  }
  return exitCode(client.call("Operator/DeclareLive", request));
}

int setKind(Client &client, const Arguments &arguments) {
  if (arguments.Operands.size() != 2)
    return usage();
  v1::SetKindRequest request;
  fill(*request.mutable_change(), arguments);
  v1::Kind &kind = *request.mutable_kind();
  kind.set_name(arguments.Operands[1]);
  kind.set_weight(arguments.Weight);
  kind.set_window_ms(arguments.WindowMs);
  kind.set_in_flight_limit(arguments.Limit);
  kind.set_caller_limit(arguments.CallerLimit);
  return exitCode(client.call("Operator/SetKind", request));
}

/// Calls an operator method on one named object; \p setName puts the name into
/// the request.
template <class Request>
int changeNamed(Client &client, const Arguments &arguments, const char *method,
                void (*setName)(Request &, const std::string &)) {
  if (arguments.Operands.size() != 2)
    return usage();
  Request request;
  fill(*request.mutable_change(), arguments);
  setName(request, arguments.Operands[1]);
  return exitCode(client.call(method, request));
}

void setHost(v1::DrainRequest &request, const std::string &name) {
  request.set_host(name);
}
void setZone(v1::EvacuateZoneRequest &request, const std::string &name) {
  request.set_zone(name);
}
void setContent(v1::ReleaseRequestRequest &request, const std::string &name) {
  request.set_content(name);
}

int generate(Client &client, const Arguments &arguments) {
  if (arguments.Operands.size() != 3)
    return usage();
  v1::GenerateRequest request;
  request.set_request_id(arguments.Request.empty() ? randomId()
                                                   : arguments.Request);
  request.set_caller(arguments.Caller);
  request.set_kind(arguments.Kind);
  request.set_adapter(arguments.Operands[1]);
  request.set_version(arguments.Version);
  request.set_prompt(arguments.Operands[2]);
  request.set_max_tokens(arguments.MaxTokens);
  return exitCode(client.stream("Assistant/GenerateStream", request));
}

std::uint64_t wallMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

int callService(Client &client, const Arguments &arguments) {
  if (arguments.Operands.size() != 4)
    return usage();
  v1::CallServiceRequest request;
  request.set_request_id(arguments.Request.empty() ? randomId()
                                                   : arguments.Request);
  request.set_caller(arguments.Caller);
  request.set_kind(arguments.Kind);
  request.set_service(arguments.Operands[1]);
  request.set_method(arguments.Operands[2]);
  request.set_payload(arguments.Operands[3]);
  request.set_idempotent(arguments.Idempotent);
  request.set_issued_at_ms(arguments.IssuedAtMs ? arguments.IssuedAtMs
                                                : wallMilliseconds());
  return exitCode(client.call("Assistant/CallService", request));
}

TimeLine readLogs(const Arguments &arguments, std::size_t first,
                  Findings &findings) {
  TimeLine line;
  for (std::size_t i = first; i < arguments.Operands.size(); ++i) {
    const std::string &name = arguments.Operands[i];
    std::ifstream file(name);
    if (!file)
      findings.add(name, "cannot be read");
    std::stringstream text;
    text << file.rdbuf();
    line.addLog(name, text.str(), findings);
  }
  return line;
}

int explain(const Arguments &arguments) {
  if (arguments.Operands.size() < 3)
    return usage();
  Findings findings;
  TimeLine line = readLogs(arguments, 2, findings);
  line.sort();
  const std::string text = line.explain(arguments.Operands[1]);
  if (text.empty())
    std::fprintf(stderr,
                 "no line names request %s (%zu lines could not be "
                 "read)\n",
                 arguments.Operands[1].c_str(), findings.items().size());
  std::fputs(text.c_str(), stdout);
  return exitCode(!text.empty());
}

int timeLine(const Arguments &arguments) {
  if (arguments.Operands.size() < 2)
    return usage();
  Findings findings;
  TimeLine line = readLogs(arguments, 1, findings);
  if (!arguments.Request.empty())
    line.removeOtherRequests(arguments.Request);
  line.sort();
  if (arguments.Page.empty())
    std::fputs(line.toText().c_str(), stdout);
  else
    std::ofstream(arguments.Page) << line.toHtml();
  std::fputs(findings.toText().c_str(), stderr);
  return exitCode(findings.empty());
}

template <class Request>
int query(Client &client, const char *method, const Request &request) {
  return exitCode(client.call(method, request));
}

int runCommand(const Arguments &arguments) {
  const std::string &command = arguments.Operands[0];
  if (command == "timeline")
    return timeLine(arguments);
  if (command == "explain")
    return explain(arguments);
  const auto address = HostPort::parse(arguments.Entry);
  if (!address)
    return usage();
  Client client(*address);
  if (command == "create-adapter")
    return createAdapter(client, arguments);
  if (command == "create-version")
    return createVersion(client, arguments);
  if (command == "declare-live")
    return declareLive(client, arguments);
  if (command == "set-kind")
    return setKind(client, arguments);
  if (command == "drain")
    return changeNamed(client, arguments, "Operator/Drain", setHost);
  if (command == "undrain")
    return changeNamed(client, arguments, "Operator/Undrain", setHost);
  if (command == "evacuate")
    return changeNamed(client, arguments, "Operator/EvacuateZone", setZone);
  if (command == "restore")
    return changeNamed(client, arguments, "Operator/RestoreZone", setZone);
  if (command == "release")
    return changeNamed(client, arguments, "Operator/ReleaseRequest",
                       setContent);
  if (command == "generate")
    return generate(client, arguments);
  if (command == "call")
    return callService(client, arguments);
  if (command == "bootstrap")
    return query(client, "Operator/Bootstrap", v1::BootstrapRequest());
  if (command == "kinds")
    return query(client, "Operator/ListKinds", v1::ListKindsRequest());
  if (command == "accounts") {
    v1::GetStatusRequest request;
    request.set_accounts_only(true);
    return query(client, "Operator/GetStatus", request);
  }
  if (command == "status")
    return query(client, "Operator/GetStatus", v1::GetStatusRequest());
  if (arguments.Operands.size() != 2)
    return usage();
  if (command == "adapter") {
    v1::GetAdapterRequest request;
    request.set_adapter(arguments.Operands[1]);
    return query(client, "Operator/GetAdapter", request);
  }
  if (command == "remove-replica") {
    v1::RemoveReplicaRequest request;
    request.set_host(arguments.Operands[1]);
    return query(client, "Operator/RemoveReplica", request);
  }
  return usage();
}

/// Codes of the options without a short form, above all character codes.
enum LongOption {
  WeightOption = 256,
  WindowOption,
  LimitOption,
  CallerLimitOption,
  KindOption,
  VersionOption,
  MaxTokensOption,
  RequestOption,
  CallerOption,
  IssuedOption,
  IdempotentOption,
  PageOption,
};

/// Stores the value of an option in \p arguments.
/// \returns whether the option is known and its value valid.
bool parseOption(int option, const char *value, Arguments &arguments) {
  switch (option) {
  case 'e':
    arguments.Entry = value;
    return true;
  case 'o':
    arguments.Operator = value;
    return true;
  case 'i':
    arguments.CommandId = value;
    return true;
  case 'b':
    return parseNumber(value, arguments.BuildsOn);
  case WeightOption:
    return parseNumber(value, arguments.Weight);
  case WindowOption:
    return parseNumber(value, arguments.WindowMs);
  case LimitOption:
    return parseNumber(value, arguments.Limit);
  case CallerLimitOption:
    return parseNumber(value, arguments.CallerLimit);
  case KindOption:
    arguments.Kind = value;
    return true;
  case VersionOption:
    return parseNumber(value, arguments.Version);
  case MaxTokensOption:
    return parseNumber(value, arguments.MaxTokens);
  case RequestOption:
    arguments.Request = value;
    return true;
  case CallerOption:
    arguments.Caller = value;
    return true;
  case IssuedOption:
    return parseNumber(value, arguments.IssuedAtMs);
  case IdempotentOption:
    arguments.Idempotent = true;
    return true;
  case PageOption:
    arguments.Page = value;
    return true;
  default:
    return false;
  }
}

} // namespace

int main(int argc, char **argv) {
  const option options[] = {
      {"entry", required_argument, nullptr, 'e'},
      {"operator", required_argument, nullptr, 'o'},
      {"command-id", required_argument, nullptr, 'i'},
      {"builds-on", required_argument, nullptr, 'b'},
      {"weight", required_argument, nullptr, WeightOption},
      {"window-ms", required_argument, nullptr, WindowOption},
      {"limit", required_argument, nullptr, LimitOption},
      {"caller-limit", required_argument, nullptr, CallerLimitOption},
      {"kind", required_argument, nullptr, KindOption},
      {"version", required_argument, nullptr, VersionOption},
      {"max-tokens", required_argument, nullptr, MaxTokensOption},
      {"request", required_argument, nullptr, RequestOption},
      {"caller", required_argument, nullptr, CallerOption},
      {"issued-at-ms", required_argument, nullptr, IssuedOption},
      {"idempotent", no_argument, nullptr, IdempotentOption},
      {"page", required_argument, nullptr, PageOption},
      {"help", no_argument, nullptr, 'h'},
      {"version-of-program", no_argument, nullptr, 'V'},
      {nullptr, 0, nullptr, 0}};
  Arguments arguments;
  const char *user = std::getenv("USER");
  arguments.Operator = user && *user ? user : "operator";
  int c = 0;
  while ((c = getopt_long(argc, argv, "e:o:i:b:hV", options, nullptr)) != -1) {
    if (c == 'h') {
      std::fputs(Help, stdout);
      return Good;
    }
    if (c == 'V') {
      std::puts("pimentofrontctl 0.1.0");
      return Good;
    }
    if (!parseOption(c, optarg, arguments))
      return usage();
  }
  for (int i = optind; i < argc; ++i)
    arguments.Operands.emplace_back(argv[i]);
  if (arguments.Operands.empty())
    return usage();
  return runCommand(arguments);
}
