#ifndef PIMENTOFRONT_WIRE_PACKED_TEXT_H
#define PIMENTOFRONT_WIRE_PACKED_TEXT_H

#include <string>
#include <string_view>

namespace pimentofront {

/// \ingroup Wire
/// \returns \p text compressed with zlib. Documents of hundreds of routes are
/// repetitive and shrink to about a tenth, on disk and between hosts.
std::string packText(std::string_view text);

/// \ingroup Wire
/// \returns the text, or an empty one when \p packed is damaged or expands to
/// more than 64 MB.
std::string unpackText(std::string_view packed);

} // namespace pimentofront

#endif
