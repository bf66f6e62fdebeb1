#ifndef PIMENTOFRONT_BASE_IDENTIFIER_H
#define PIMENTOFRONT_BASE_IDENTIFIER_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace pimentofront {

/// \class Identifier
/// \ingroup Base
/// \brief A name whose type prevents it from being used as another kind of
/// name.
/// \tparam Tag distinguishes the types.
template <class Tag> class Identifier {
public:
  Identifier() = default;
  explicit Identifier(std::string value) : Value(std::move(value)) {}

  const std::string &str() const { return Value; }
  bool empty() const { return Value.empty(); }

  friend auto operator<=>(const Identifier &, const Identifier &) = default;

private:
  std::string Value;
};

/// Names of the domain, as in docs/GLOSSARY.md.
using AdapterName = Identifier<struct AdapterNameTag>;
using KindName = Identifier<struct KindNameTag>;
using HostName = Identifier<struct HostNameTag>;
using ZoneName = Identifier<struct ZoneNameTag>;
using RegionName = Identifier<struct RegionNameTag>;
using CallerName = Identifier<struct CallerNameTag>;
using RequestId = Identifier<struct RequestIdTag>;
using CommandId = Identifier<struct CommandIdTag>;
using OperatorName = Identifier<struct OperatorNameTag>;
using ServiceName = Identifier<struct ServiceNameTag>;
using AccountName = Identifier<struct AccountNameTag>;

/// Version number of an adapter, from 1; 0 means that no version was named.
using VersionNumber = std::uint32_t;

/// \class AdapterKey
/// \ingroup Base
/// \brief One version of one adapter, as held by a slot and named by a request.
struct AdapterKey {
  AdapterName Adapter;
  VersionNumber Version = 0;

  friend auto operator<=>(const AdapterKey &, const AdapterKey &) = default;
};

/// \class ServerProcess
/// \ingroup Base
/// \brief One process of a backend server. Whatever is known of a server (its
/// load, its failures, what it holds, requests and orders in flight) is known
/// of one process: a server that restarts under its name has none of the former
/// process's state.
struct ServerProcess {
  /// Name under which the server registers; a later process may reuse it.
  HostName Name;
  /// When the process started, in milliseconds since 1970 by the clock of its
  /// host; 0 if unknown.
  std::uint64_t StartedAt = 0;

  bool empty() const { return Name.empty(); }
  /// \returns whether the start times of both are known, so that they can be
  /// used to distinguish the processes.
  friend bool bothStartsKnown(const ServerProcess &a, const ServerProcess &b) {
    return a.StartedAt != 0 && b.StartedAt != 0;
  }
  /// \returns whether these may be the same process. If a start time is
  /// unknown, only the names are compared.
  friend bool mayBeSameProcess(const ServerProcess &a, const ServerProcess &b) {
    return a.Name == b.Name &&
           (!bothStartsKnown(a, b) || a.StartedAt == b.StartedAt);
  }
  friend auto operator<=>(const ServerProcess &,
                          const ServerProcess &) = default;
};

/// \class AttemptId
/// \ingroup Base
/// \brief One attempt at one request. Never reused, so that a late answer to an
/// earlier attempt is not taken for one to a later attempt.
struct AttemptId {
  /// Random number drawn when the entry process started.
  std::uint64_t Incarnation = 0;
  /// Counts the attempts of that process.
  std::uint64_t Sequence = 0;

  friend auto operator<=>(const AttemptId &, const AttemptId &) = default;
};

} // namespace pimentofront

template <class Tag> struct std::hash<pimentofront::Identifier<Tag>> {
  std::size_t operator()(const pimentofront::Identifier<Tag> &id) const {
    return std::hash<std::string>()(id.str());
  }
};

template <> struct std::hash<pimentofront::AdapterKey> {
  std::size_t operator()(const pimentofront::AdapterKey &key) const {
    constexpr std::size_t Multiplier = 0x9E3779B97F4A7C15ULL;
    return std::hash<std::string>()(key.Adapter.str()) ^
           (key.Version * Multiplier);
  }
};

template <> struct std::hash<pimentofront::AttemptId> {
  std::size_t operator()(const pimentofront::AttemptId &id) const {
    return id.Incarnation ^ id.Sequence;
  }
};

#endif
