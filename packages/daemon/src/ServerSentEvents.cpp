#include "ServerSentEvents.h"

namespace pimentofront {

std::optional<std::string> ServerSentEvents::next() {
  constexpr std::string_view DataPrefix = "data:";
  while (true) {
    const std::size_t end = Buffer.find('\n');
    if (end == std::string::npos)
      return std::nullopt;
    std::string line = Buffer.substr(0, end);
    Buffer.erase(0, end + 1);
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    if (!std::string_view(line).starts_with(DataPrefix))
      continue;
    const std::size_t begin = line.find_first_not_of(' ', DataPrefix.size());
    return begin == std::string::npos ? "" : line.substr(begin);
  }
}

} // namespace pimentofront
