#ifndef PIMENTOFRONT_WIRE_STREAM_ORIGIN_H
#define PIMENTOFRONT_WIRE_STREAM_ORIGIN_H

#include "Fields.h"
#include "pimentofront/Base.h"

#include <string>
#include <vector>

namespace pimentofront {

/// \class StreamOrigin
/// \ingroup Wire
/// \brief The software version of the backend server that sent the first event
/// of a stream.
struct StreamOrigin {
  /// Id of the caller's attempt that began the stream, or resumed it.
  RequestId Stream;
  std::string Software;
  /// How long its caller may still resume the stream.
  Duration Lifetime = Duration::zero();
  PIMENTOFRONT_FIELDS(StreamOrigin, Stream, Software, Lifetime)
};

/// Entry to agent or replica: remember these.
struct StreamOrigins {
  std::vector<StreamOrigin> Origins;
  PIMENTOFRONT_FIELDS(StreamOrigins, Origins)
};

/// Entry to agent or replica: at which version did this stream begin?
struct StreamOriginQuery {
  RequestId Stream;
  PIMENTOFRONT_FIELDS(StreamOriginQuery, Stream)
};

/// Agent or replica to entry: the answer.
struct StreamOriginReply {
  RequestId Stream;
  bool Known = false;
  std::string Software;
  PIMENTOFRONT_FIELDS(StreamOriginReply, Stream, Known, Software)
};

} // namespace pimentofront

#endif
