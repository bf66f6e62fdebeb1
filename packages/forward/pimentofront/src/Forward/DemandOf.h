#ifndef PIMENTOFRONT_FORWARD_DEMAND_OF_H
#define PIMENTOFRONT_FORWARD_DEMAND_OF_H

#include "ForwardBoard.h"

namespace pimentofront {

/// \returns what \p request asks of a backend server.
/// \pre its route is known.
RequestDemand demandOf(const ForwardRequest &request);

} // namespace pimentofront

#endif
