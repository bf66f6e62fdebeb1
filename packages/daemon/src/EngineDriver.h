#ifndef PIMENTOFRONT_DAEMON_ENGINE_DRIVER_H
#define PIMENTOFRONT_DAEMON_ENGINE_DRIVER_H

#include "EventLog.h"
#include "Metrics.h"
#include "ServerSentEvents.h"

#include <unordered_map>

namespace pimentofront {

/// \class EngineDriver
/// \brief Drives an engine with an OpenAI-compatible API: streams completions
/// and loads and unloads LoRA adapters through the engine's public endpoints.
/// Also calls plain services. Engines with another API get a BackendDriver of
/// their own.
class EngineDriver : public BackendDriver {
public:
  EngineDriver(EventLoop &loop, HttpClient &client, const Settings &settings,
               EventLog &log, Metrics &metrics);
  ~EngineDriver() override;

  /// Sets the node that is notified of results; must be called before any
  /// request is run. Starts the probes of the engine.
  void setNode(AgentNode &node);

  void generate(const ExecuteRequest &request) override;
  void callService(const ExecuteRequest &request) override;
  void cancel(const AttemptId &attempt) override;
  void load(const StartLoad &load) override;

private:
  struct Generation {
    HttpCallId Call = 0;
    RequestId Request;
    ServerSentEvents Events;
    bool Done = false;
  };

  void onPiece(const AttemptId &attempt, std::string_view bytes);
  /// Ends a generation whose response can't be used.
  void breakOff(const AttemptId &attempt, const char *why);
  void onGenerationEnd(const AttemptId &attempt, const HttpResponse &answer);
  void onServiceEnd(const AttemptId &attempt, const HttpResponse &answer);
  void unload(const StartLoad &load, TimePoint loadStart);
  void sendLoad(const StartLoad &load, TimePoint loadStart);
  void onLoadEnd(const StartLoad &load, TimePoint loadStart, bool succeeded);
  void probe();
  void onMetrics(const HttpResponse &answer);
  void onModels(const HttpResponse &answer, double startedAt, bool idle);
  void engineLost(const char *why);
  HttpCall post(const std::string &path, std::string body) const;

  EventLoop &Loop;
  HttpClient &Client;
  const Settings &Options;
  EventLog &Log;
  Metrics &Counters;
  AgentNode *Node = nullptr;
  HostPort Engine;
  std::map<ServiceName, HostPort> Services;
  std::unordered_map<AttemptId, Generation> Generations;
  std::unordered_map<AttemptId, HttpCallId> ServiceCalls;
  std::unique_ptr<Timer> ProbeTimer;
  bool ProbeInFlight = false;
  /// Start time of the engine's process as the engine reports it; a change
  /// shows a restart. 0 while the engine is unavailable.
  double EngineStartTime = 0;
};

} // namespace pimentofront

#endif
