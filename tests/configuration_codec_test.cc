// Tests of the JSON encoding of configurations.
#include <criterion/criterion.h>

#include <algorithm>

#include "jaypick/configuration_codec.h"

namespace jaypick {
namespace {

Configuration Sample() {
  const Kind kind{.service = "fitting",
                  .name = "match-wig",
                  .idempotent = true,
                  .default_timeout = std::chrono::seconds(5),
                  .declared_run_time = std::chrono::milliseconds(200),
                  .needs = {.cpus = 2, .memory_mb = 512, .accelerators = 1},
                  .queue_limit = 1000};
  return MakeConfiguration({.version = 7,
                            .author = "ann",
                            .operation_id = "op-1",
                            .created_unix_ms = 1'700'000'000'000},
                           {.services = {{"fitting"}},
                            .kinds = {kind},
                            .shares = {{"fitting", "ghent-bank", 60},
                                       {"fitting", "antwerp-bank", 40}}});
}

std::string Replace(std::string text, std::string from, std::string to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

// Guards against a member that is lost when a configuration passes through the
// store or a peer.
Test(configuration_codec, round_trips) {
  const std::string text = EncodeConfiguration(Sample());
  const auto decoded = DecodeConfiguration(text);
  cr_assert(std::holds_alternative<Configuration>(decoded));
  const auto& configuration = std::get<Configuration>(decoded);
  cr_assert(EncodeConfiguration(configuration) == text);
  cr_assert(configuration.header() == Sample().header());
  cr_assert(*configuration.FindKind("fitting", "match-wig") ==
            Sample().content().kinds[0]);
}

// Guards against a digest that depends on the order of rows.
Test(configuration_codec, digest_ignores_row_order) {
  ConfigurationContent content = Sample().content();
  std::ranges::reverse(content.shares);
  cr_assert(ContentDigest(content) == Sample().header().digest);
  cr_assert(Sample().header().digest.size() == 16);
  content.shares[0].percent = 41;
  cr_assert(ContentDigest(content) != Sample().header().digest);
}

// Guards against accepting a corrupt value, or one from another release, with
// silent defaults.
Test(configuration_codec, reports_unknown_missing_and_invalid_members) {
  const std::string text = EncodeConfiguration(Sample());
  struct Case {
    std::string from, to, key, message;
  };
  const Case cases[] = {
      {"\"idempotent\":true", "\"idem\":true", "/kinds/0/idempotent",
       "missing member"},
      {"\"idempotent\":true", "\"idempotent\":true,\"x\":1", "/kinds/0/x",
       "unknown member"},
      {"\"idempotent\":true", "\"idempotent\":1", "/kinds/0/idempotent",
       "must be true or false"},
      {"\"percent\":40", "\"percent\":101", "/shares/0/percent",
       "must be a whole number from 0 to 100"},
      {"\"percent\":40", "\"percent\":40.5", "/shares/0/percent",
       "must be a whole number from 0 to 100"},
      {"\"percent\":40", "\"percent\":41", "/digest",
       "does not match the content"},
      {"\"author\":\"ann\"", "\"author\":\"ann\",\"author\":\"bob\"", "author",
       "duplicate member"},
  };
  for (const Case& c : cases) {
    const auto decoded = DecodeConfiguration(Replace(text, c.from, c.to));
    cr_assert(std::holds_alternative<Findings>(decoded), "%s", c.to.c_str());
    const auto& findings = std::get<Findings>(decoded);
    const bool found = std::ranges::any_of(findings, [&](const Finding& f) {
      return f.key == c.key && f.message == c.message;
    });
    cr_assert(found, "%s", c.to.c_str());
  }
}

// Guards against a truncated value that throws an exception or is accepted.
Test(configuration_codec, reports_every_truncation) {
  const std::string text = EncodeConfiguration(Sample());
  for (std::size_t length = 0; length < text.size(); ++length) {
    const auto decoded = DecodeConfiguration(text.substr(0, length));
    cr_assert(std::holds_alternative<Findings>(decoded));
  }
}

}  // namespace
}  // namespace jaypick
