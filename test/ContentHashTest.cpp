#include "pimentofront/Base.h"

#include <catch2/catch.hpp>

using namespace pimentofront;

TEST_CASE("content is hashed by SHA-256, however it is split") {
  // The test vector of FIPS 180-4 for "abc", its first half.
  const std::string expected = "ba7816bf8f01cfea414140de5dae2223";
  ContentHasher hasher;
  const ContentHash whole = hasher.add("abc").finish();
  CHECK(whole.str() == expected);
  CHECK(hasher.add("a").add("").add("bc").finish() == whole);
  CHECK(hasher.add("abd").finish() != whole);
}

TEST_CASE("the boundaries between fields are part of the hash") {
  ContentHasher hasher;
  const ContentHash one = hasher.addField("ab").addField("c").finish();
  CHECK(hasher.addField("a").addField("bc").finish() != one);
}

TEST_CASE("a content hash is parsed from its text") {
  const ContentHash hash = ContentHasher().add("abc").finish();
  CHECK(ContentHash::parse(hash.str()) == hash);
  for (const char *it : {"", "12", "xa7816bf8f01cfea414140de5dae2223",
                         "ba7816bf8f01cfea414140de5dae222g"})
    CHECK(ContentHash::parse(it) != hash);
  CHECK(ContentHash::parse("").empty());
}
