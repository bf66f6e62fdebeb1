#ifndef PIMENTOFRONT_BASE_TEXT_H
#define PIMENTOFRONT_BASE_TEXT_H

#include <string_view>

namespace pimentofront {

/// \ingroup Base
/// \returns whether \p text is valid UTF-8 without control characters, so that
/// JSON, headers and logs can carry it unchanged.
bool isPlainText(std::string_view text);

} // namespace pimentofront

#endif
