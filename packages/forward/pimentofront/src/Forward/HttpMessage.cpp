#include "pimentofront/Forward.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace pimentofront {
namespace {

char lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

constexpr std::array<std::string_view, 10> ConnectionHeaders = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length"};

bool isConnectionHeader(std::string_view name) {
  return std::ranges::any_of(ConnectionHeaders, [&](std::string_view it) {
    return sameHeaderName(it, name);
  });
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

/// \returns the header names listed in the value of a `Connection` header.
std::vector<std::string> listedNames(std::string_view value) {
  std::vector<std::string> names;
  while (!value.empty()) {
    const std::size_t comma = value.find(',');
    const std::string_view name = trimmed(value.substr(0, comma));
    if (!name.empty())
      names.emplace_back(name);
    if (comma == std::string_view::npos)
      break;
    value.remove_prefix(comma + 1);
  }
  return names;
}

bool isDecimal(std::string_view text) {
  const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
  return !text.empty() && isDigit(text.front()) && isDigit(text.back()) &&
         std::ranges::count(text, '.') <= 1 &&
         std::ranges::all_of(text,
                             [&](char c) { return c == '.' || isDigit(c); });
}

} // namespace

bool sameHeaderName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::ranges::equal(a, b, {}, lower, lower);
}

const std::string *findHeader(const HttpHeaders &headers,
                              std::string_view name) {
  const auto it = std::ranges::find_if(headers, [&](const HttpHeader &header) {
    return sameHeaderName(header.Name, name);
  });
  return it == headers.end() ? nullptr : &it->Value;
}

std::string_view headerValue(const HttpHeaders &headers,
                             std::string_view name) {
  const std::string *value = findHeader(headers, name);
  return value ? std::string_view(*value) : std::string_view();
}

DecimalHeader readDecimalHeader(const HttpHeaders &headers,
                                std::string_view name) {
  const auto isNamed = [&](const HttpHeader &it) {
    return sameHeaderName(it.Name, name);
  };
  const auto n = std::ranges::count_if(headers, isNamed);
  DecimalHeader header{.Present = n > 0};
  if (n != 1)
    return header;
  const std::string_view text =
      trimmed(std::ranges::find_if(headers, isNamed)->Value);
  double value = 0;
  const auto read =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (isDecimal(text) && read.ec == std::errc())
    header.Value = value;
  return header;
}

void removeHeader(HttpHeaders &headers, std::string_view name) {
  std::erase_if(headers, [&](const HttpHeader &it) {
    return sameHeaderName(it.Name, name);
  });
}

void removeConnectionHeaders(HttpHeaders &headers) {
  std::vector<std::string> listed;
  for (const HttpHeader &it : headers)
    if (sameHeaderName(it.Name, "connection"))
      for (std::string &name : listedNames(it.Value))
        listed.push_back(std::move(name));
  std::erase_if(headers, [&](const HttpHeader &it) {
    return isConnectionHeader(it.Name) ||
           std::ranges::any_of(listed, [&](const std::string &name) {
             return sameHeaderName(name, it.Name);
           });
  });
}

std::size_t memoryOf(const RequestHead &head) {
  std::size_t n = head.Method.size() + head.Target.size();
  for (const HttpHeader &it : head.Headers)
    n += it.Name.size() + it.Value.size();
  return n + head.Headers.capacity() * sizeof(HttpHeader);
}

} // namespace pimentofront
