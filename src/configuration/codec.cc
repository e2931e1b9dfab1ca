#include <xxhash.h>

#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "configuration/json_conversion.h"
#include "configuration/json_reader.h"
#include "jaypick/configuration_codec.h"

namespace jaypick {
namespace {

using nlohmann::json;

constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaxPercent = 100;
constexpr std::size_t kDigestDigits = 16;
// One day, which is far longer than any timeout and does not overflow in
// microseconds.
constexpr std::uint64_t kMaxDurationMs = 86'400'000;

class Decoder {
 public:
  Decoder(std::string_view source, Findings& findings)
      : source_(source), findings_(findings) {}

  Configuration ReadConfiguration(const json& value) {
    ObjectReader reader(value, "", source_, findings_);
    ConfigurationHeader header{
        .version = reader.Uint64Member("version"),
        .author = reader.StringMember("author"),
        .operation_id = reader.StringMember("operation_id"),
        .created_unix_ms = reader.Int64Member("created_unix_ms"),
        .digest = reader.StringMember("digest")};
    ConfigurationContent content{
        .services = ReadRows<Service>(reader, "services"),
        .kinds = ReadRows<Kind>(reader, "kinds"),
        .shares = ReadRows<Share>(reader, "shares")};
    reader.Finish();
    if (findings_.empty() && header.digest != ContentDigest(content)) {
      reader.Report("digest", "does not match the content");
    }
    return {std::move(header), std::move(content)};
  }

 private:
  template <typename Row>
  std::vector<Row> ReadRows(ObjectReader& parent, const std::string& name) {
    std::vector<Row> rows;
    for (const json& value : parent.ArrayMember(name)) {
      const std::string pointer =
          parent.PointerTo(name) + "/" + std::to_string(rows.size());
      ObjectReader reader(value, pointer, source_, findings_);
      rows.emplace_back();
      Read(reader, rows.back());
      reader.Finish();
    }
    return rows;
  }

  void Read(ObjectReader& reader, Service& service) {
    service.name = reader.StringMember("name");
  }

  void Read(ObjectReader& reader, Share& share) {
    share.service = reader.StringMember("service");
    share.owner = reader.StringMember("owner");
    share.percent =
        static_cast<std::uint32_t>(reader.Uint64Member("percent", kMaxPercent));
  }

  void Read(ObjectReader& reader, Kind& kind) {
    kind.service = reader.StringMember("service");
    kind.name = reader.StringMember("name");
    kind.idempotent = reader.BoolMember("idempotent");
    kind.default_timeout = ReadDuration(reader, "default_timeout_ms");
    kind.declared_run_time = ReadDuration(reader, "declared_run_time_ms");
    kind.queue_limit = static_cast<std::uint32_t>(
        reader.Uint64Member("queue_limit", kMaxUint32));
    ObjectReader needs(reader.ObjectMember("needs"), reader.PointerTo("needs"),
                       source_, findings_);
    kind.needs.cpus =
        static_cast<std::uint32_t>(needs.Uint64Member("cpus", kMaxUint32));
    kind.needs.memory_mb = needs.Uint64Member("memory_mb");
    kind.needs.accelerators = static_cast<std::uint32_t>(
        needs.Uint64Member("accelerators", kMaxUint32));
    needs.Finish();
  }

  static Duration ReadDuration(ObjectReader& reader, const std::string& name) {
    return std::chrono::milliseconds(reader.Uint64Member(name, kMaxDurationMs));
  }

  std::string_view source_;
  Findings& findings_;
};

}  // namespace

std::string ContentDigest(const ConfigurationContent& content) {
  const std::string text = Dump(ToJson(content));
  char digits[kDigestDigits + 1];
  std::snprintf(
      digits, sizeof(digits), "%016llx",
      static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
  return digits;
}

Configuration MakeConfiguration(ConfigurationHeader header,
                                ConfigurationContent content) {
  header.digest = ContentDigest(content);
  return {std::move(header), std::move(content)};
}

std::string EncodeConfiguration(const Configuration& configuration) {
  return Dump(ToJson(configuration));
}

std::variant<Configuration, Findings> DecodeConfiguration(
    std::string_view text,
    std::string_view source) {
  Findings findings;
  const auto value = ParseJson(text, source, findings);
  if (!value) {
    return findings;
  }
  Configuration configuration =
      Decoder(source, findings).ReadConfiguration(*value);
  if (!findings.empty()) {
    return findings;
  }
  return configuration;
}

}  // namespace jaypick
