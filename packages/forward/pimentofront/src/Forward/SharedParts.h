#ifndef PIMENTOFRONT_FORWARD_SHARED_PARTS_H
#define PIMENTOFRONT_FORWARD_SHARED_PARTS_H

#include "pimentofront/Wire.h"

#include <string>

namespace pimentofront {

/// \returns the parts of a prompt that other requests may have as well: all but
/// the last one, which belongs to the request or to its session.
std::vector<PromptPart> sharedParts(std::vector<PromptPart> parts);
/// \returns the same as the requests of \p account share them.
std::vector<SharedPart> sharedParts(ContentHasher &hasher,
                                    const AccountName &account,
                                    const std::vector<PromptPart> &parts);
/// \returns the id of a part as callers write it, in hexadecimal.
std::string partName(std::uint64_t part);
/// \returns the ids of \p parts as callers write them, separated by commas.
std::string describeParts(const std::vector<PromptPart> &parts);

} // namespace pimentofront

#endif
