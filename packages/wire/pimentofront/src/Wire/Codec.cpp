#include "pimentofront/Wire.h"

#include <nlohmann/json.hpp>

namespace pimentofront {
namespace detail {
namespace {

using Json = nlohmann::json;

/// Format version of commands, entries and snapshots on disk.
constexpr char StoredFormatVersion = 1;
/// The deepest message has 7 levels. The library's parser recurses, so a
/// malicious frame has to be rejected before the stack overflows.
constexpr int DepthLimit = 16;

/// Larger arrays make the library throw; no message comes near this length.
constexpr std::size_t MaxElements = std::size_t(1) << 32;

/// Builds the document, but rejects one that is nested too deeply.
class BoundedReader : public nlohmann::detail::json_sax_dom_parser<Json> {
public:
  using Base = nlohmann::detail::json_sax_dom_parser<Json>;
  explicit BoundedReader(Json &root) : Base(root, false) {}

  bool start_array(std::size_t n) {
    return ++Depth <= DepthLimit && n <= MaxElements && Base::start_array(n);
  }
  bool end_array() {
    --Depth;
    return Base::end_array();
  }
  /// Messages contain no maps.
  bool start_object(std::size_t) { return false; }

private:
  int Depth = 0;
};

template <class T> Json toJson(const T &value);
template <class T> void fromJson(const Json &json, T &value);

struct TypeMismatch {};

void require(bool condition) {
  if (!condition)
    throw TypeMismatch();
}

template <class T>
concept HasFields = requires(T &t) {
  t.visitFields([](auto &&...) {});
};

template <class T> struct IsVector : std::false_type {};
template <class T> struct IsVector<std::vector<T>> : std::true_type {};
template <class T> struct IsVariant : std::false_type {};
template <class... Ts>
struct IsVariant<std::variant<Ts...>> : std::true_type {};
template <class T> struct IsIdentifier : std::false_type {};
template <class Tag> struct IsIdentifier<Identifier<Tag>> : std::true_type {};

template <class V> Json variantToJson(const V &value) {
  Json json = Json::array();
  json.push_back(value.index());
  std::visit([&](const auto &it) { json.push_back(toJson(it)); }, value);
  return json;
}

template <class V, std::size_t... Is>
void emplaceAlternative(V &value, std::size_t index,
                        std::index_sequence<Is...>) {
  const bool found =
      ((index == Is && (value.template emplace<Is>(), true)) || ...);
  require(found);
}

template <class V>
void alternativeFromJson(const Json &index, const Json &json, V &value) {
  require(index.is_number_unsigned());
  emplaceAlternative(value, index.get<std::size_t>(),
                     std::make_index_sequence<std::variant_size_v<V>>());
  std::visit([&](auto &it) { fromJson(json, it); }, value);
}

template <class T> Json toJson(const T &value) {
  if constexpr (std::is_same_v<T, AdapterKey>) {
    return Json::array({value.Adapter.str(), value.Version});
  } else if constexpr (std::is_same_v<T, AttemptId>) {
    return Json::array({value.Incarnation, value.Sequence});
  } else if constexpr (std::is_same_v<T, ServerProcess>) {
    return Json::array({value.Name.str(), value.StartedAt});
  } else if constexpr (std::is_same_v<T, ContentHash>) {
    return Json::array({value.High, value.Low});
  } else if constexpr (HasFields<const T>) {
    Json json = Json::array();
    value.visitFields(
        [&](const auto &...it) { (json.push_back(toJson(it)), ...); });
    return json;
  } else if constexpr (IsVector<T>::value) {
    Json json = Json::array();
    for (const auto &it : value)
      json.push_back(toJson(it));
    return json;
  } else if constexpr (IsVariant<T>::value) {
    return variantToJson(value);
  } else if constexpr (IsIdentifier<T>::value) {
    return value.str();
  } else if constexpr (std::is_same_v<T, Duration>) {
    return value.count();
  } else if constexpr (std::is_enum_v<T>) {
    return static_cast<std::uint8_t>(value);
  } else if constexpr (std::is_same_v<T, std::string>) {
    // As bytes, since texts may be cut inside a multi-byte character.
    return Json::binary(std::vector<std::uint8_t>(value.begin(), value.end()));
  } else {
    return value;
  }
}

/// Fills the fields in order from the elements of an array.
template <class T> void fieldsFromJson(const Json &json, T &value) {
  require(json.is_array());
  std::size_t i = 0;
  const auto read = [&](auto &field) {
    if (i < json.size())
      fromJson(json[i++], field);
  };
  value.visitFields([&](auto &...it) { (read(it), ...); });
}

template <class T> void unsignedFromJson(const Json &json, T &value) {
  require(json.is_number_unsigned());
  const auto n = json.get<std::uint64_t>();
  require(n <= std::numeric_limits<T>::max());
  value = static_cast<T>(n);
}

template <class T> void fromJson(const Json &json, T &value) {
  if constexpr (std::is_same_v<T, AdapterKey>) {
    require(json.is_array() && json.size() == 2);
    fromJson(json[0], value.Adapter);
    fromJson(json[1], value.Version);
  } else if constexpr (std::is_same_v<T, AttemptId>) {
    require(json.is_array() && json.size() == 2);
    fromJson(json[0], value.Incarnation);
    fromJson(json[1], value.Sequence);
  } else if constexpr (std::is_same_v<T, ServerProcess>) {
    require(json.is_array() && json.size() == 2);
    fromJson(json[0], value.Name);
    fromJson(json[1], value.StartedAt);
  } else if constexpr (std::is_same_v<T, ContentHash>) {
    require(json.is_array() && json.size() == 2);
    fromJson(json[0], value.High);
    fromJson(json[1], value.Low);
  } else if constexpr (HasFields<T>) {
    fieldsFromJson(json, value);
  } else if constexpr (IsVector<T>::value) {
    require(json.is_array());
    value.clear();
    for (const Json &it : json)
      fromJson(it, value.emplace_back());
  } else if constexpr (IsVariant<T>::value) {
    require(json.is_array() && json.size() == 2);
    alternativeFromJson(json[0], json[1], value);
  } else if constexpr (IsIdentifier<T>::value) {
    require(json.is_string());
    value = T(json.get<std::string>());
  } else if constexpr (std::is_same_v<T, Duration>) {
    require(json.is_number_integer());
    value = Duration(json.get<std::int64_t>());
  } else if constexpr (std::is_enum_v<T>) {
    std::uint8_t n = 0;
    unsignedFromJson(json, n);
    value = static_cast<T>(n);
  } else if constexpr (std::is_same_v<T, std::string>) {
    require(json.is_binary());
    const auto &bytes = json.get_binary();
    value.assign(bytes.begin(), bytes.end());
  } else if constexpr (std::is_same_v<T, bool>) {
    require(json.is_boolean());
    value = json.get<bool>();
  } else {
    unsignedFromJson(json, value);
  }
}

std::string toBytes(const Json &json) {
  std::string bytes;
  Json::to_cbor(json, nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

/// \returns the document, or a discarded value when \p bytes is not valid CBOR.
Json fromBytes(std::string_view bytes) {
  Json json;
  BoundedReader reader(json);
  const bool ok = Json::sax_parse(bytes.begin(), bytes.end(), &reader,
                                  Json::input_format_t::cbor, /*strict=*/true);
  if (!ok)
    return Json(Json::value_t::discarded);
  return json;
}

template <class T> std::string encodeStored(const T &value) {
  return StoredFormatVersion + toBytes(toJson(value));
}

template <class T>
tl::expected<T, DecodeError> decodeStored(std::string_view bytes) {
  if (bytes.empty() || bytes.front() != StoredFormatVersion)
    return tl::unexpected(DecodeError{"unknown format version"});
  const Json json = fromBytes(bytes.substr(1));
  if (json.is_discarded())
    return tl::unexpected(DecodeError{"not valid CBOR"});
  T value;
  try {
    fromJson(json, value);
  } catch (const TypeMismatch &) {
    return tl::unexpected(DecodeError{"a field has the wrong type"});
  }
  return value;
}

} // namespace
} // namespace detail

std::string encodeFrame(const Frame &frame) {
  detail::Json json = detail::Json::array();
  json.push_back(frame.Content.index());
  json.push_back(frame.SentAt);
  std::visit([&](const auto &it) { json.push_back(detail::toJson(it)); },
             frame.Content);
  return detail::toBytes(json);
}

tl::expected<Frame, DecodeError> decodeFrame(std::string_view bytes) {
  const detail::Json json = detail::fromBytes(bytes);
  if (!json.is_array() || json.size() != 3)
    return tl::unexpected(DecodeError{"not a frame"});
  Frame frame;
  try {
    detail::fromJson(json[1], frame.SentAt);
    detail::alternativeFromJson(json[0], json[2], frame.Content);
  } catch (const detail::TypeMismatch &) {
    return tl::unexpected(DecodeError{"a field has the wrong type"});
  }
  return frame;
}

std::string encodeCommand(const Command &command) {
  return detail::encodeStored(command);
}
tl::expected<Command, DecodeError> decodeCommand(std::string_view bytes) {
  return detail::decodeStored<Command>(bytes);
}
std::string encodeAdapter(const AdapterRecord &record) {
  return detail::encodeStored(record);
}
tl::expected<AdapterRecord, DecodeError> decodeAdapter(std::string_view bytes) {
  return detail::decodeStored<AdapterRecord>(bytes);
}
std::string encodeGroup(const ReplicaGroup &group) {
  return detail::encodeStored(group);
}
tl::expected<ReplicaGroup, DecodeError> decodeGroup(std::string_view bytes) {
  return detail::decodeStored<ReplicaGroup>(bytes);
}
std::string encodeEntry(const LogEntry &entry) {
  return detail::encodeStored(entry);
}
tl::expected<LogEntry, DecodeError> decodeEntry(std::string_view bytes) {
  return detail::decodeStored<LogEntry>(bytes);
}
std::string encodeStateItem(const StateItem &item) {
  return detail::encodeStored(item);
}
tl::expected<StateItem, DecodeError> decodeStateItem(std::string_view bytes) {
  return detail::decodeStored<StateItem>(bytes);
}

const char *refusalReasonName(RefusalReason reason) {
  static constexpr const char *Names[RefusalReasonCount] = {
      "none",         "leaving",      "queue_full",      "load_backlog",
      "load_failed",  "backend_down", "no_such_backend", "isolated",
      "kind_limit",   "caller_limit", "no_backend",      "stopping",
      "invalid",      "no_claim",     "not_resident",    "busy",
      "rate_limited", "displaced"};
  const auto i = static_cast<unsigned>(reason);
  return i < RefusalReasonCount ? Names[i] : "unknown";
}

} // namespace pimentofront
