#include "pimentofront/Base.h"

namespace pimentofront {

void Findings::add(std::string_view location, std::string_view message) {
  Items.push_back({std::string(location), std::string(message)});
}

std::string Findings::toText() const {
  std::string text;
  for (const Finding &it : Items)
    text += it.Location + ": " + it.Message + "\n";
  return text;
}

} // namespace pimentofront
