#ifndef PIMENTOFRONT_SERVING_SHAPE_PLACEMENT_H
#define PIMENTOFRONT_SERVING_SHAPE_PLACEMENT_H

#include "RoutingPolicy.h"

namespace pimentofront {

/// \class ShapePlacementOptions
/// \ingroup Serving
struct ShapePlacementOptions {
  /// Requests are placed by shape where it is called for.
  bool Enabled = false;
  /// Half-life of the observed demand. An entry sees few requests in a second,
  /// and entries must come to similar shares.
  Duration HalfLife = std::chrono::seconds(60);
  /// Least factor between the prompt tokens per generated token of two groups
  /// of routes for which they are placed apart. Routes that differ by less
  /// disturb each other as much as their own requests do.
  double MinContrast = 8;
  /// Requests that must have been seen of both groups together, after decay.
  double MinRequests = 10;
  /// Prompt tokens that an engine reads in a second while it hasn't been
  /// measured.
  double TokensPerSecond = 40'000;
  /// Adapter slots that a running stream needs: streams for one adapter share
  /// its slot.
  double SlotsPerStream = 0.1;
  /// Maximum number of routes whose demand is tracked.
  std::size_t Capacity = 256;
};

/// \class ShapeOrder
/// \ingroup Serving
/// \brief Which engines a request prefers by its shape.
struct ShapeOrder {
  /// Number of engines, from the first, that the request prefers; all of them
  /// if the requests of the service aren't placed apart.
  std::size_t Preferred = 0;
  /// The other engines may get it when the preferred ones would be late. Not
  /// for long prompts: each would delay all streams of an engine that is there
  /// for long answers.
  bool MaySpill = true;
};

/// \class ShapePlacement
/// \ingroup Serving
/// \brief Divides the engines of a service between requests that mostly read
/// (long prompts, short answers) and requests that mostly generate (short
/// prompts, long answers).
///
/// Answers the load in which both share engines: while an engine reads a
/// prompt, each token of its running streams takes several times as long, and
/// streams exceed the pauses that their callers allow. The idea is that of
/// DistServe (Zhong et al., 2024) and Splitwise (Patel et al., 2024), without
/// their transfer of state: a request stays on one engine, and whole requests
/// are placed apart.
///
/// The groups and their shares follow the demand that this process observes,
/// so all entries come to similar shares without messages. Engines are in the
/// order of their names' hashes, and a group has the first or the last of them:
/// entries whose shares differ a little disagree about few engines.
///
/// Not for services whose routes are alike, and only in use where streams
/// exceed their pauses (RouteQuery::Disturbed): an adapter that both groups
/// ask for is loaded twice.
class ShapePlacement {
public:
  explicit ShapePlacement(const ShapePlacementOptions &options = {})
      : Options(options) {}

  void recordRequest(TimePoint now, const RouteQuery &query);
  /// Moves the engines of the query's group to the front of \p hosts.
  ShapeOrder arrange(TimePoint now, const RouteQuery &query,
                     std::vector<const MemberView *> &hosts) const;

private:
  /// Demand of one route, or of a group of them.
  struct Demand {
    double Requests = 0;
    double PromptTokens = 0;
    double OutputTokens = 0;
    /// Time for which its streams hold a place on an engine, in seconds.
    double StreamSeconds = 0;
    TimePoint At;

    double contrast() const { return PromptTokens / OutputTokens; }
    void add(const Demand &other, double factor);
  };
  struct Route {
    std::string Model;
    Demand Total;
  };
  struct Division {
    Demand Generating;
    Demand Reading;
  };
  /// \returns the two groups of routes between which the contrast is largest;
  /// nothing if the demand is too little or too much alike.
  std::optional<Division> divide(TimePoint now, const std::string &model) const;
  /// \returns the engines that the demand keeps busy, up to a factor that is
  /// the same for all groups.
  double enginesNeeded(const Demand &demand, double tokensPerSecond,
                       std::uint32_t slots) const;

  ShapePlacementOptions Options;
  std::unordered_map<std::string, Route> Routes;
};

} // namespace pimentofront

#endif
