#ifndef PIMENTOFRONT_NODE_DOCUMENT_CODEC_H
#define PIMENTOFRONT_NODE_DOCUMENT_CODEC_H

#include "pimentofront/Forward.h"

namespace pimentofront {

/// \class DocumentCodec
/// \ingroup Node
/// \brief Decodes operators' routing documents. There is one implementation per
/// format.
class DocumentCodec {
public:
  virtual ~DocumentCodec() = default;
  /// \returns the document. If there are findings, it must not be used.
  virtual RoutingDocument decode(std::string_view text,
                                 Findings &findings) const = 0;
};

} // namespace pimentofront

#endif
