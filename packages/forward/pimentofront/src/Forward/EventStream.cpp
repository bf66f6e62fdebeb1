#include "pimentofront/Forward.h"

#include <charconv>

namespace pimentofront {
namespace {

/// \returns the position after the empty line that ends the first event in
/// \p text, or npos. The search begins at \p from.
std::size_t endOfEvent(std::string_view text, std::size_t from) {
  for (std::size_t i = text.find('\n', from); i != std::string_view::npos;
       i = text.find('\n', i + 1)) {
    const std::string_view rest = text.substr(i + 1);
    if (rest.starts_with('\n'))
      return i + 2;
    if (rest.starts_with("\r\n"))
      return i + 3;
  }
  return std::string_view::npos;
}

/// \returns the number in the `id` line of an event; nothing without one.
std::optional<std::uint64_t> idOf(std::string_view event) {
  constexpr std::string_view Name = "id:";
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.starts_with(Name)) {
      line.remove_prefix(Name.size());
      if (line.starts_with(' '))
        line.remove_prefix(1);
      std::uint64_t id = 0;
      const auto read =
          std::from_chars(line.data(), line.data() + line.size(), id);
      if (read.ec == std::errc())
        return id;
      return std::nullopt;
    }
    if (end == std::string_view::npos)
      break;
    event.remove_prefix(end + 1);
  }
  return std::nullopt;
}

} // namespace

bool EventStream::accept(std::string_view event) {
  const std::optional<std::uint64_t> id = idOf(event);
  if (id && Last && *id <= *Last)
    return false;
  if (id)
    Last = id;
  ++Events;
  return true;
}

std::string EventStream::feed(std::string_view bytes) {
  // The empty line that ends an event may be split between two pieces.
  constexpr std::size_t MaxTerminatorLength = 3;
  std::size_t from = Partial.size() > MaxTerminatorLength
                         ? Partial.size() - MaxTerminatorLength
                         : 0;
  Partial += bytes;
  std::string out;
  std::size_t begin = 0;
  while (true) {
    const std::size_t end = endOfEvent(Partial, std::max(from, begin));
    if (end == std::string::npos)
      break;
    const auto event = std::string_view(Partial).substr(begin, end - begin);
    if (accept(event))
      out += event;
    begin = end;
  }
  Partial.erase(0, begin);
  return out;
}

} // namespace pimentofront
