#ifndef PIMENTOFRONT_TESTKIT_TEST_DOCUMENT_H
#define PIMENTOFRONT_TESTKIT_TEST_DOCUMENT_H

#include <nlohmann/json.hpp>
#include <string>

namespace pimentofront::testkit {

/// Keys of the client accounts in testDocument(): of an account without a
/// limit, of one whose rate allows no further request for minutes, and a key
/// that no account has. All have the same prefix, so that one search finds
/// every leak.
constexpr const char *TestKey = "secret-of-a-caller";
constexpr const char *LimitedKey = "secret-of-a-limited-one";
constexpr const char *UnknownKey = "secret-of-nobody";
/// Name of the account that holds TestKey.
constexpr const char *TestAccount = "shop";

/// \param kind the platform's route type, which says how often a request may
/// run.
/// \param servers maximum number of servers that one request is sent to.
/// \returns the route of test.example for /PREFIX/, in the platform's format.
nlohmann::json testRoute(const std::string &prefix, const char *kind,
                         const char *service, int servers, bool resumable);
/// \returns a routing document with two services, `plain` and `engines`, and a
/// route for each rule on repeating a request.
nlohmann::json testDocument(std::uint64_t version);

} // namespace pimentofront::testkit

#endif
