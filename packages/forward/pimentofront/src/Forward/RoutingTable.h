#ifndef PIMENTOFRONT_FORWARD_ROUTING_TABLE_H
#define PIMENTOFRONT_FORWARD_ROUTING_TABLE_H

#include "RoutingDocument.h"

#include <string_view>
#include <unordered_map>

namespace pimentofront {

/// \class RoutingTable
/// \ingroup Forward
/// \brief An immutable index of a routing document. A request is routed by the
/// table in force at its arrival, even if a newer table replaces it meanwhile.
class RoutingTable {
public:
  /// \param previous the table that this one replaces; null for the first table
  /// of a process.
  /// \pre the document has no findings.
  RoutingTable(Revision at, RoutingDocument document,
               const RoutingTable *previous = nullptr);

  /// \returns the route of \p host with the longest prefix of \p path, or
  /// null.
  const RouteSpec *findRoute(std::string_view host,
                             std::string_view path) const;
  const ServiceSpec *findService(const ServiceName &name) const;
  /// \returns whether a later table than the first one of this process added
  /// \p route, for metrics that compare added routes with the first ones.
  /// \pre \p route is one of this table's.
  bool isAdded(const RouteSpec &route) const;
  /// \returns the service that a uniform random number \p draw from [0, 1)
  /// selects by the weights of the split.
  static const ServiceName &chooseService(const RouteSpec &route, double draw);

  /// Revision of the configuration that put the document in force.
  Revision revision() const { return At; }
  /// The document without its accounts, which accounts() returns.
  const RoutingDocument &document() const { return Document; }
  const AccountTable &accounts() const { return Accounts; }

private:
  bool isAbsentOrAdded(const std::string &key) const;

  Revision At;
  RoutingDocument Document;
  AccountTable Accounts;
  /// Position in the document's routes. The key is host and path prefix, joined
  /// by a space, which neither of them contains.
  std::unordered_map<std::string, std::size_t> Routes;
  /// By position in the document's routes.
  std::vector<bool> Added;
  std::unordered_map<ServiceName, std::size_t> Services;
};

} // namespace pimentofront

#endif
