#include "pimentofront/Base.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <openssl/evp.h>
#include <stdexcept>

namespace pimentofront {
namespace {

constexpr std::size_t DigitsOfHalf = 16;

void check(int result) {
  if (result != 1)
    throw std::runtime_error("libcrypto can't compute SHA-256");
}

std::uint64_t parseHalf(std::string_view digits) {
  constexpr int Hexadecimal = 16;
  std::uint64_t n = 0;
  const auto read = std::from_chars(
      digits.data(), digits.data() + digits.size(), n, Hexadecimal);
  const bool complete = read.ptr == digits.data() + digits.size();
  return read.ec == std::errc() && complete ? n : 0;
}

/// \returns eight bytes as a number, the first one most significant (big
/// endian), the order in which hashes are written.
std::uint64_t readHalf(const unsigned char *bytes) {
  constexpr unsigned BitsOfByte = 8;
  std::uint64_t n = 0;
  for (std::size_t i = 0; i < sizeof(n); ++i)
    n = n << BitsOfByte | bytes[i];
  return n;
}

} // namespace

std::string ContentHash::str() const {
  std::array<char, 2 * DigitsOfHalf + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(High),
                static_cast<unsigned long long>(Low));
  return text.data();
}

ContentHash ContentHash::parse(std::string_view text) {
  if (text.size() != 2 * DigitsOfHalf)
    return {};
  return {parseHalf(text.substr(0, DigitsOfHalf)),
          parseHalf(text.substr(DigitsOfHalf))};
}

struct ContentHasher::Impl {
  EVP_MD_CTX *Context = EVP_MD_CTX_new();
  ~Impl() { EVP_MD_CTX_free(Context); }
};

ContentHasher::ContentHasher() : State(new Impl) {
  check(EVP_DigestInit_ex(State->Context, EVP_sha256(), nullptr));
}

ContentHasher::~ContentHasher() = default;

ContentHasher &ContentHasher::add(std::string_view bytes) {
  check(EVP_DigestUpdate(State->Context, bytes.data(), bytes.size()));
  return *this;
}

ContentHasher &ContentHasher::addField(std::string_view bytes) {
  const std::uint64_t n = bytes.size();
  add({reinterpret_cast<const char *>(&n), sizeof(n)});
  return add(bytes);
}

ContentHash ContentHasher::finish() {
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  check(EVP_DigestFinal_ex(State->Context, bytes.data(), nullptr));
  check(EVP_DigestInit_ex(State->Context, nullptr, nullptr));
  return {readHalf(bytes.data()),
          readHalf(bytes.data() + sizeof(std::uint64_t))};
}

} // namespace pimentofront
