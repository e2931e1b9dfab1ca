// Tests of the difference that operators see before they apply a sheet.
#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include "jaypick/configuration_diff.h"

namespace jaypick {
namespace {

ConfigurationContent Before() {
  return {.services = {{"fitting"}, {"styling"}},
          .kinds = {{.service = "fitting",
                     .name = "match-wig",
                     .idempotent = true,
                     .default_timeout = std::chrono::seconds(10),
                     .declared_run_time = std::chrono::milliseconds(600),
                     .needs = {.cpus = 4, .memory_mb = 4096},
                     .queue_limit = 20000},
                    {.service = "styling", .name = "comb"}},
          .shares = {{"fitting", "ghent-bank", 60},
                     {"fitting", "antwerp-bank", 40},
                     {"styling", "ghent-bank", 100}}};
}

ConfigurationContent After() {
  ConfigurationContent after = Before();
  after.services.pop_back();
  after.kinds.pop_back();
  after.shares = {{"fitting", "antwerp-bank", 95},
                  {"fitting", "ghent-bank", 4},
                  {"fitting", "leuven-bank", 1}};
  Kind& kind = after.kinds[0];
  kind.idempotent = false;
  kind.declared_run_time = std::chrono::milliseconds(60);
  kind.needs.cpus = 8;
  kind.queue_limit = 100;
  return after;
}

// Guards against reporting a change if only the order of rows differs.
Test(configuration_diff, row_order_is_not_a_change) {
  ConfigurationContent reordered = Before();
  std::swap(reordered.shares[0], reordered.shares[2]);
  std::swap(reordered.kinds[0], reordered.kinds[1]);
  cr_assert(Compare(Before(), reordered).is_empty());
  cr_assert(ToText(Compare(Before(), Before())) == "no change\n");
}

// Guards against a change or a warning that is missing in the text.
Test(configuration_diff, text_contains_every_change_and_warning) {
  const std::string expected = R"(service "styling" removed
kind "match-wig" of "fitting": idempotent yes -> no, declared_run_time_ms 600 -> 60 (-540), cpus 4 -> 8 (+4), queue_limit 20000 -> 100 (-19900)
kind "comb" of "styling" removed: idempotent no, default_timeout_ms 0, declared_run_time_ms 0, cpus 0, memory_mb 0, accelerators 0, queue_limit 0
owner "antwerp-bank" in "fitting": share_percent 40 -> 95 (+55)
owner "ghent-bank" in "fitting": share_percent 60 -> 4 (-56)
owner "leuven-bank" in "fitting" added: share_percent 1
owner "ghent-bank" in "styling" removed: share_percent 100
warning: service "styling" is removed; it may still have queued or running work
warning: kind "match-wig" of "fitting" is no longer idempotent; a lost task now fails its job
warning: kind "match-wig" of "fitting" gets a run time that differs by a factor of 10 or more
warning: kind "match-wig" of "fitting" needs more cpus; upstreams that offer less no longer run it
warning: kind "match-wig" of "fitting" gets a lower queue limit; new jobs are refused while more is queued
warning: kind "comb" of "styling" is removed; it may still have queued or running work
warning: owner "antwerp-bank" in "fitting" gets a share that differs by a factor of 2 or more
warning: owner "ghent-bank" in "fitting" gets a share that differs by a factor of 2 or more
warning: owner "ghent-bank" in "styling" is removed; it may still have queued or running work
)";
  const std::string text = ToText(Compare(Before(), After()));
  cr_assert(text == expected, "%s", text.c_str());
}

// Guards against numbers and booleans that are encoded as JSON strings.
Test(configuration_diff, json_has_typed_values) {
  const auto json =
      nlohmann::json::parse(EncodeDiff(Compare(Before(), After())));
  const auto& change = json["changes"][1];
  cr_assert(change["type"] == "changed" && change["subject"] == "kind");
  cr_assert(change["service"] == "fitting" && change["name"] == "match-wig");
  cr_assert(change["fields"][0]["before"] == true);
  cr_assert(change["fields"][1]["after"] == 60);
  cr_assert(json["warnings"].size() == 9);
  cr_assert(json["text"] == ToText(Compare(Before(), After())));
}

}  // namespace
}  // namespace jaypick
