#ifndef PIMENTOFRONT_SERVING_UNANSWERED_ORDERS_H
#define PIMENTOFRONT_SERVING_UNANSWERED_ORDERS_H

#include "pimentofront/Base.h"

#include <map>

namespace pimentofront {

/// \class UnansweredOrdersOptions
/// \ingroup Serving
struct UnansweredOrdersOptions {
  /// Longest time after which an order that was sent may still be carried out:
  /// several times the few seconds that it may be in transit.
  Duration Lifetime = std::chrono::seconds(30);
};

/// \class UnansweredOrders
/// \ingroup Serving
/// \brief Orders to load an adapter that were not answered and may still be
/// carried out, by the engine process they were sent to or by a later one with
/// the same name.
///
/// Each order names its server and the number of orders that this server must
/// have accepted before (the order's count). It can therefore be carried out at
/// one count only, and once, since carrying it out raises the count. After a
/// restart the engine counts from the beginning, and an order from before the
/// restart matches again when the engine reaches that count. An engine that has
/// to hold more adapters than it has slots exits, and all its requests fail.
///
/// The invariant that isSafeToReach() preserves, for each such order at count N
/// and the run of r such orders at N, N + 1, ...: when the engine reaches N it
/// has r slots free. Far from N no load is prevented, since each order in
/// between may evict an adapter; near N, loads are. Use it where one process
/// sends all orders; it is not a record of what the engine holds.
class UnansweredOrders {
public:
  explicit UnansweredOrders(const UnansweredOrdersOptions &options = {})
      : Options(options) {}

  /// An order to load, sent to \p server when it had accepted \p count orders,
  /// was not answered.
  void recordUnanswered(TimePoint now, const HostName &server,
                        std::uint64_t count);
  /// \returns whether it is safe that \p server has accepted \p count orders
  /// and holds \p held adapters: then no unanswered order can exceed its
  /// \p slots, provided that this function is called before each later order,
  /// too.
  bool isSafeToReach(TimePoint now, const HostName &server, std::uint64_t count,
                     std::size_t held, std::size_t slots) const;

private:
  /// The server and count at which an order can be carried out.
  struct OrderPosition {
    HostName Server;
    std::uint64_t Count = 0;
    friend auto operator<=>(const OrderPosition &,
                            const OrderPosition &) = default;
  };
  bool isPending(TimePoint now, const OrderPosition &position) const;

  UnansweredOrdersOptions Options;
  /// When the last order for each of them was sent.
  std::map<OrderPosition, TimePoint> SentAt;
};

} // namespace pimentofront

#endif
