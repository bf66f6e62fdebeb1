#ifndef PIMENTOFRONT_BASE_IDENTIFIER_H
#define PIMENTOFRONT_BASE_IDENTIFIER_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace pimentofront {

/// \class Identifier
/// \ingroup Base
/// \brief A name that can't be mistaken for another sort of name.
/// \tparam Tag makes each sort a type of its own.
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

/// Names of the domain; the words are those of docs/GLOSSARY.md.
using AdapterName = Identifier<struct AdapterNameTag>;
using KindName = Identifier<struct KindNameTag>;
using HostName = Identifier<struct HostNameTag>;
using ZoneName = Identifier<struct ZoneNameTag>;
using CallerName = Identifier<struct CallerNameTag>;
using RequestId = Identifier<struct RequestIdTag>;
using CommandId = Identifier<struct CommandIdTag>;
using OperatorName = Identifier<struct OperatorNameTag>;
using ServiceName = Identifier<struct ServiceNameTag>;

/// Number of a version of one adapter, from 1; 0 stands for "not named".
using VersionNumber = std::uint32_t;

/// \class AdapterKey
/// \ingroup Base
/// \brief One version of one adapter: what a slot holds and a request names.
struct AdapterKey {
  AdapterName Adapter;
  VersionNumber Version = 0;

  friend auto operator<=>(const AdapterKey &, const AdapterKey &) = default;
};

/// \class AttemptId
/// \ingroup Base
/// \brief One attempt at one request. Never used again, so that a late answer
/// of an earlier attempt finds nobody.
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
