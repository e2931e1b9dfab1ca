// The platform's messages: decoding, and rejection of malformed input.

// clang-format off
#include <criterion/criterion.h>
// clang-format on

#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "platform/job_messages.h"
#include "platform/store_values.h"
#include "platform/upstream_messages.h"

namespace jaypick::adapter {
namespace {

constexpr char kJobId[] = "5c0e7a21d94b36f8";

node::Route MakeRoute() {
  return {.host = "fit.example",
          .prefix = "/fit/",
          .kind = {.name = "match", .service = "fitting"},
          .timeout = std::chrono::milliseconds(1500)};
}

node::CallerRequest Post(const std::string& body,
                         const std::string& id = kJobId,
                         std::vector<http::Header> headers = {}) {
  return DecodeCallerRequest({.method = http::Method::kPost,
                              .path = "/fit/" + id,
                              .query = {},
                              .headers = std::move(headers),
                              .body = body},
                             MakeRoute());
}

int RefusalOf(const node::CallerRequest& call) {
  const auto* const rejected = std::get_if<node::RejectedRequest>(&call);
  return rejected == nullptr ? 0 : rejected->response.status;
}

// Guards against members of a submission that are decoded wrongly.
Test(platform_messages, submission_is_decoded) {
  const auto call = Post(
      R"({"spec":"x","best_effort":true,"steps":[{"count":4,"cpu":500,)"
      R"("mem_mb":256,"estimate_ms":900,"requires":"a","affinity":"r1-3"},)"
      R"({"count":2,"cpu":10,"after":[0],"anti_affinity":1}]})",
      kJobId, {{.name = "Timeout-Ms", .value = "2453"}});
  const auto& job = std::get<node::JobSubmission>(call);
  cr_assert(job.timeout == std::chrono::milliseconds(2453));
  cr_assert_eq(job.spec.id, kJobId);
  cr_assert_eq(job.spec.steps.size(), 2);
  const schedule::Step& first = job.spec.steps[0];
  cr_assert_eq(first.tasks, 4);
  cr_assert_eq(first.needs.milli_cpus, 500);
  cr_assert_eq(first.needs.memory_mb, 256);
  cr_assert(first.declared_run_time == std::chrono::milliseconds(900));
  cr_assert_eq(first.required_label, "a");
  cr_assert_eq(first.preferred_rack, "r1-3");
  cr_assert_eq(job.spec.steps[1].after.front(), 0);
  cr_assert_eq(job.spec.steps[1].tasks_per_upstream, 1);
}

struct BadJob {
  const char* name;
  const char* body;
  int status;
};

// Guards against invalid submissions that are accepted or crash the node.
Test(platform_messages, invalid_submissions_are_rejected) {
  const BadJob cases[] = {
      {"no JSON", "{", 400},
      {"no steps", R"({"spec":"x","best_effort":true})", 400},
      {"empty steps", R"({"spec":"x","best_effort":true,"steps":[]})", 400},
      {"no spec", R"({"best_effort":true,"steps":[{"count":1}]})", 400},
      {"negative count",
       R"({"spec":"x","best_effort":true,"steps":[{"count":-1}]})", 400},
      {"huge number",
       R"({"spec":"x","best_effort":true,"steps":[{"cpu":1e300}]})", 400},
      {"text as number",
       R"({"spec":"x","best_effort":true,"steps":[{"cpu":"many"}]})", 400},
      {"after itself",
       R"({"spec":"x","best_effort":true,"steps":[{"after":[0]}]})", 400},
      {"after is no list",
       R"({"spec":"x","best_effort":true,"steps":[{"after":1}]})", 400},
      {"stored job", R"({"spec":"x","steps":[{"count":1}]})", 503},
      {"gang", R"({"spec":"x","best_effort":true,"steps":[{"gang":true}]})",
       503},
      {"lasting job",
       R"({"spec":"x","best_effort":true,"steps":[{"long_running":true}]})",
       503},
      {"timed job",
       R"({"spec":"x","best_effort":true,"repeats":2,"steps":[{"count":1}]})",
       503},
  };
  for (const BadJob& each : cases) {
    cr_assert_eq(RefusalOf(Post(each.body)), each.status, "%s", each.name);
  }
  const std::string good = R"({"spec":"x","best_effort":true,"steps":[{}]})";
  cr_assert_eq(RefusalOf(Post(good, "short")), 404);
  cr_assert_eq(RefusalOf(Post(good, "5c0e7a21d94b36fz")), 404);
  const std::string payload(4001, 'x');
  cr_assert_eq(RefusalOf(Post(R"({"spec":")" + payload +
                              R"(","best_effort":true,"steps":[{}]})")),
               400);
}

// Guards against a response that says "not run" for a job that has run.
Test(platform_messages, outcomes_are_encoded_distinctly) {
  cr_assert_eq(EncodeOutcome(schedule::Completed{}).status, 200);
  const auto refused = EncodeOutcome(
      schedule::Refused{.retry_after = std::chrono::milliseconds(1200)});
  cr_assert_eq(refused.status, 503);
  cr_assert(http::FindHeader(refused.headers, "Retry-After") == "2");
  const auto failed = EncodeOutcome(
      schedule::Failed{.reason = schedule::RefusalReason::kTaskFailed});
  cr_assert_eq(failed.status, 200);
  cr_assert(failed.body.find("failed") != std::string::npos);
  cr_assert_eq(EncodeOutcome(schedule::Failed{
                                 .reason = schedule::RefusalReason::kDeadline})
                   .status,
               504);
}

// Guards against task names that are not decoded to the run they were encoded
// from.
Test(platform_messages, task_names_are_decoded_as_encoded) {
  const schedule::RunId run{.job = kJobId, .step = 1, .index = 17, .run = 2};
  cr_assert_eq(TaskName(run), std::string(kJobId) + ".0.1.17");
  cr_assert(ParseTaskName(TaskName(run), 2) == run);
  for (const char* const name : {"", "x", "x.0.1", "x.0.a.1", "x.1.0.0"}) {
    cr_assert(!ParseTaskName(name, 1), "%s", name);
  }
}

http::ClientResult Reply(int status, const std::string& body) {
  return http::Response{.status = status, .headers = {}, .body = body};
}

// Guards against responses that are mapped to the wrong status.
Test(platform_messages, run_responses_are_mapped_to_their_status) {
  using control::ResponseStatus;
  const auto result = [](int status, const std::string& body) {
    return std::get<control::RunResponse>(
               DecodeRunResponse(Reply(status, body)))
        .result;
  };
  cr_assert(result(200, R"({"clock_ms":5})") == ResponseStatus::kDone);
  cr_assert(result(409, R"({"reason":"fence"})") == ResponseStatus::kFenced);
  cr_assert(result(409, R"({"reason":"old"})") == ResponseStatus::kStaleRun);
  cr_assert(result(409, R"({"reason":"late"})") == ResponseStatus::kLate);
  cr_assert(result(409, R"({"reason":"room"})") == ResponseStatus::kNoRoom);
  cr_assert(result(421, "") == ResponseStatus::kOtherIncarnation);
  cr_assert(result(429, "") == ResponseStatus::kUnhealthy);
  cr_assert(result(400, "x") == ResponseStatus::kInvalid);
  cr_assert(std::holds_alternative<control::NoResponse>(
      DecodeRunResponse(Reply(500, ""))));
  cr_assert(std::get<control::NoResponse>(
                DecodeRunResponse(http::ClientError{.not_sent = true}))
                .not_sent);
}

// Guards against a poll response whose malformed rows hide other runs or are
// decoded as runs.
Test(platform_messages, malformed_rows_of_a_poll_response_are_skipped) {
  const auto response = std::get<
      control::PollResponse>(DecodePollResponse(Reply(
      200,
      R"({"clock_ms":7,"born":3,"running":[["5c0e7a21d94b36f8.0.0.1",2,"",100],)"
      R"(["x",1],[3,4],"no"],"ended":[[58,"5c0e7a21d94b36f8.0.0.9",1,"done",""],)"
      R"([59,"?",1,"failed",""],["a"],[-1,"5c0e7a21d94b36f8.0.0.9",1,"done"]]})")));
  cr_assert_eq(response.running.size(), 1);
  cr_assert_eq(response.running.front().run, 2);
  cr_assert_eq(response.ended.size(), 2);
  cr_assert(response.ended[0].end == schedule::RunOutcome::kSucceeded);
  cr_assert_eq(response.ended[1].number, 59,
               "unreadable ends are acknowledged");
  cr_assert(response.stamp.started_unix_ms == 3);
  cr_assert(std::holds_alternative<control::NoResponse>(
      DecodePollResponse(Reply(200, R"({"clock_ms":7})"))));
}

// Guards against entries of other writers that are used as upstreams or crash a
// node.
Test(platform_messages, foreign_entries_are_not_decoded_as_upstreams) {
  const auto decode = [](const std::string& value) {
    std::string fault;
    return DecodeUpstream({.key = "servers/i-1", .value = value}, fault);
  };
  const auto good = decode(
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"draining",)"
      R"("slots":8,"capacity":{"cpu":16000,"mem_mb":100},"labels":["a"],)"
      R"("born":5})");
  cr_assert(good && good->id == "i-1" && good->is_draining);
  cr_assert_eq(good->capacity.milli_cpus, 16000);
  for (
      const char* const value :
      {"", "[]", "7", R"({"service":"s"})",
       R"({"service":"s","address":"10.0.0.1","zone":"z","state":"ready"})",
       R"({"service":"s","address":"10.0.0.1:99999","zone":"z","state":"ready"})",
       R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"odd"})",
       R"({"service":5,"address":"10.0.0.1:80","zone":"z","state":"ready"})"}) {
    cr_assert(!decode(value), "%s", value);
  }
}

// Returns the text of a sound entry whose `member` has the value `raw`, or is
// missing if `raw` is empty.
std::string Entry(std::string_view member = "", std::string_view raw = "") {
  const std::pair<std::string_view, std::string_view> sound[] = {
      {"service", R"("s")"},
      {"address", R"("10.0.0.1:80")"},
      {"zone", R"("z")"},
      {"state", R"("ready")"},
      {"slots", "8"},
      {"capacity", R"({"cpu":16000,"mem_mb":32768,"gpu":0})"},
      {"labels", R"(["a","r1-3"])"},
      {"born", "1765000000000"},
      {"seq", "4"}};
  std::string text;
  for (const auto& [name, value] : sound) {
    const std::string_view used = name == member ? raw : value;
    if (!used.empty()) {
      text += text.empty() ? "{\"" : ",\"";
      text.append(name).append("\":").append(used);
    }
  }
  return text + "}";
}

std::optional<schedule::Upstream> Decode(std::string value,
                                         std::string key = "servers/i-1") {
  std::string fault;
  return DecodeUpstream({.key = std::move(key), .value = std::move(value)},
                        fault);
}

// Guards against a key without an ID, which ended the process by an exception.
Test(platform_messages, entries_without_an_id_name_no_upstream) {
  cr_assert(Decode(Entry()));
  for (const char* const key : {"", "servers", "servers/", "other/i-1"}) {
    cr_expect(!Decode(Entry(), key), "%s", key);
  }
}

// Guards against addresses to which no connection can be opened, and against
// host names: looking one up blocks the event loop.
Test(platform_messages, unusable_addresses_name_no_upstream) {
  for (const char* const address : {"",
                                    "null",
                                    "80",
                                    "{}",
                                    "[]",
                                    R"("")",
                                    R"(":80")",
                                    R"("10.0.0.1")",
                                    R"("10.0.0.1:")",
                                    R"("10.0.0.1:0")",
                                    R"("10.0.0.1:00")",
                                    R"("10.0.0.1:65536")",
                                    R"("10.0.0.1:99999999999999999999")",
                                    R"("10.0.0.1:-1")",
                                    R"("10.0.0.1:+80")",
                                    R"("10.0.0.1:80.5")",
                                    R"("10.0.0.1:8e1")",
                                    R"("10.0.0.1: 80")",
                                    R"("10.0.0.1:80 ")",
                                    R"("10.0.0.1:http")",
                                    R"("executor.example:80")",
                                    R"("localhost:80")",
                                    R"("10.0.0.256:80")",
                                    R"("10.0.1:80")",
                                    R"(" 10.0.0.1:80")",
                                    R"("10.0.0.1\u0000:80")"}) {
    cr_expect(!Decode(Entry("address", address)), "%s", address);
  }
  const auto highest = Decode(Entry("address", R"("10.0.0.1:65535")"));
  cr_assert(highest);
  cr_assert_eq(highest->address.port, 65535);
}

struct OddMember {
  const char* name;
  const char* raw;
};

// Guards against odd numbers that are taken for a start at 1970, for no limit
// of slots or for another capacity.
Test(platform_messages, odd_numbers_name_no_upstream) {
  const OddMember cases[] = {
      {"born", ""},
      {"born", "null"},
      {"born", R"("1765000000000")"},
      {"born", "[]"},
      {"born", "true"},
      {"born", "0"},
      {"born", "-1765000000000"},
      {"born", "1765000000000.5"},
      {"born", "1e300"},
      {"born", "1e999"},
      {"born", "8999999999999999"},
      {"born", "9223372036854775807"},
      {"born", "18446744073709551615"},
      {"born", "99999999999999999999"},
      {"slots", ""},
      {"slots", "null"},
      {"slots", R"("8")"},
      {"slots", "-1"},
      {"slots", "1.5"},
      {"slots", "4294967296"},
      {"slots", "99999999999999999999"},
      {"slots", "1e999"},
      {"capacity", ""},
      {"capacity", "null"},
      {"capacity", "16000"},
      {"capacity", "{}"},
      {"capacity", R"({"cpu":16000})"},
      {"capacity", R"({"cpu":-1,"mem_mb":1})"},
      {"capacity", R"({"cpu":0.5,"mem_mb":1})"},
      {"capacity", R"({"cpu":"16000","mem_mb":1})"},
      {"capacity", R"({"cpu":NaN,"mem_mb":1})"},
      {"capacity", R"({"cpu":null,"mem_mb":1})"},
      {"capacity", R"({"cpu":1e300,"mem_mb":1})"},
      {"capacity", R"({"cpu":4294967295,"mem_mb":1})"},
      {"capacity", R"({"cpu":16000,"mem_mb":99999999999999999999})"},
      {"capacity", R"({"cpu":16000,"mem_mb":1,"gpu":-1})"},
      {"labels", "5"},
      {"labels", R"(["a",7])"}};
  for (const OddMember& each : cases) {
    cr_expect(!Decode(Entry(each.name, each.raw)), "%s: %s", each.name,
              each.raw);
  }
  const auto upstream = Decode(Entry("born", "1765000000000.0"));
  cr_assert(upstream);
  cr_assert_eq(upstream->started_unix_ms, 1'765'000'000'000);
}

// Guards against numbers of a response that are taken for another run, for
// another incarnation, or overflow the arithmetic of leases.
Test(platform_messages, odd_numbers_of_a_response_are_not_used) {
  for (const char* const odd :
       {"null", R"("7")", "-1", "0.5", "1e300", "9223372036854775807",
        "18446744073709551615", "99999999999999999999"}) {
    const std::string text(odd);
    const auto response = std::get<control::PollResponse>(DecodePollResponse(
        Reply(200, R"({"clock_ms":)" + text + R"(,"born":)" + text +
                       R"(,"running":[["5c0e7a21d94b36f8.0.0.1",)" + text +
                       R"(]],"ended":[[)" + text +
                       R"(,"5c0e7a21d94b36f8.0.0.1",1,"done",""]]})")));
    cr_expect(!response.stamp.clock_ms, "%s", odd);
    cr_expect(!response.stamp.started_unix_ms, "%s", odd);
    cr_expect(response.running.empty(), "%s", odd);
    cr_expect(response.ended.empty(), "%s", odd);
  }
  const auto response = std::get<control::PollResponse>(DecodePollResponse(
      Reply(200, R"({"running":[["5c0e7a21d94b36f8.0.0.1",4294967298,""]]})")));
  cr_expect(response.running.empty(), "2^32 + 2 is not run 2");
}

// Guards against deeply nested texts that exhaust the stack or the memory of a
// process, or that are accepted.
Test(platform_messages, deeply_nested_texts_are_rejected) {
  for (const std::size_t depth : {100U, 200'000U}) {
    for (const bool is_closed : {false, true}) {
      for (const auto& [opening, closing] :
           {std::pair("[", "]"), std::pair(R"({"a":)", "}")}) {
        std::string nested;
        for (std::size_t level = 0; level < depth; ++level) {
          nested += opening;
        }
        nested += "1";
        for (std::size_t level = 0; is_closed && level < depth; ++level) {
          nested += closing;
        }
        std::string fault;
        cr_expect(!Decode(nested));
        cr_expect(!Decode(Entry("seq", nested)));
        cr_expect(!Decode(Entry("capacity", nested)));
        cr_expect_eq(RefusalOf(Post(nested)), 400);
        cr_expect_eq(
            RefusalOf(Post(R"({"spec":"x","best_effort":true,"extra":)" +
                           nested + R"(,"steps":[{}]})")),
            400);
        cr_expect(!DecodeRouting(nested, fault));
        cr_expect(!DecodeRouting(
            R"({"version":7,"routes":[],"limits":)" + nested + "}", fault));
        cr_expect(std::holds_alternative<control::NoResponse>(
            DecodePollResponse(Reply(200, nested))));
        cr_expect(std::holds_alternative<control::NoResponse>(
            DecodePollResponse(Reply(200, R"({"running":)" + nested + "}"))));
        DecodeRunResponse(Reply(409, nested));
      }
    }
  }
  // Brackets within strings are no nesting.
  cr_expect(Decode(Entry("service", '"' + std::string(1000, '[') + R"(\"[")")));
}

// Guards against input that crashes a decoder. Applies random changes to valid
// messages; the seed is fixed, so failures are reproducible.
Test(platform_messages, decoders_survive_random_changes) {
  constexpr unsigned kSeed = 20261204;
  constexpr int kRounds = 20'000;
  std::minstd_rand random(kSeed);
  const std::string texts[] = {
      R"({"spec":"x","best_effort":true,"steps":[{"count":4,"after":[]}]})",
      R"({"clock_ms":7,"running":[["a.0.0.1",2,"",1]],"ended":[[1,"a.0.0.1",1,"done",""]]})",
      R"({"version":7,"routes":[{"host":"h","prefix":"/p/","service":"s"}]})",
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready"})"};
  for (int round = 0; round < kRounds; ++round) {
    std::string text = texts[random() % std::size(texts)];
    for (unsigned change = random() % 4 + 1; change > 0; --change) {
      const std::size_t position = random() % text.size();
      switch (random() % 3) {
        case 0:
          text[position] = static_cast<char>(random() % 256);
          break;
        case 1:
          text.erase(position, random() % 5 + 1);
          break;
        default:
          text.insert(position, 1, "[]{}\",:0-9e"[random() % 11]);
      }
      if (text.empty()) {
        text = "0";
      }
    }
    std::string fault;
    Post(text);
    DecodePollResponse(Reply(200, text));
    DecodeRunResponse(Reply(409, text));
    DecodeRouting(text, fault);
    DecodeUpstream({.key = "servers/i", .value = text}, fault);
  }
}

}  // namespace
}  // namespace jaypick::adapter
