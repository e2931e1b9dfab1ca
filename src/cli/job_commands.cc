// The commands `submit`, `cancel` and `status`.
#include <chrono>
#include <cstdint>
#include <map>
#include <utility>
#include <variant>

#include "cli/commands.h"
#include "cli/table.h"
#include "configuration/json_reader.h"
#include "jaypick/ids.h"
#include "jaypick/job.h"

namespace jaypick::cli {
namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr int kFirstError = 400;
constexpr int kFirstServerError = 500;
constexpr int kBadRequest = 400;

constexpr Duration kShortTimeout = std::chrono::seconds(5);
// Time beyond a job's own timeout: for the answer's way back, and for finding
// out what became of a submission whose connection was lost.
constexpr Duration kGrace = std::chrono::seconds(10);
constexpr Duration kPause = std::chrono::milliseconds(300);

// A job file that was checked. `text` is the file itself, because payloads must
// reach the entry as they were written.
struct JobFile {
  std::string text;
  std::string owner;
  Duration timeout = kMaxJobTimeout;
};

std::variant<JobFile, Findings> ReadJobFile(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) {
    return Findings{
        {.location = {.source = path}, .key = "", .message = "cannot be read"}};
  }
  Findings findings;
  const auto value = ParseJson(*text, path, findings);
  if (!value) {
    return findings;
  }
  ObjectReader reader(*value, "", path, findings);
  JobFile file{.text = *text, .owner = reader.StringMember("owner")};
  reader.StringMember("service");
  reader.StringMember("kind");
  reader.ArrayMember("tasks");
  if (reader.HasMember("timeout_ms")) {
    const auto limit =
        static_cast<std::uint64_t>(ToMilliseconds(kMaxJobTimeout));
    file.timeout =
        std::chrono::milliseconds(reader.Uint64Member("timeout_ms", limit));
  }
  reader.Finish();
  if (!findings.empty()) {
    return findings;
  }
  return file;
}

// The body of a submission: the file with the id in front of its members.
std::string SubmissionBody(const JobFile& file,
                           const std::string& id,
                           bool wait) {
  const json added = {{"id", id}, {"wait", wait}};
  std::string body = added.dump();
  body.back() = ',';
  return body + file.text.substr(file.text.find('{') + 1);
}

http::Request Post(std::string path, std::string body) {
  return {.method = http::Method::kPost,
          .path = std::move(path),
          .query = {},
          .headers = {{.name = "Content-Type", .value = "application/json"}},
          .body = std::move(body)};
}

// Prints an answer of the caller API and returns what it means.
ExitCode PrintAnswer(Session& session, const http::Response& response) {
  const json body = ParseBody(response);
  const bool is_error = response.status >= kFirstError;
  if (session.arguments().json) {
    // As it came, because results may hold numbers beyond 64 bits.
    session.out() << response.body << '\n';
  } else if (is_error) {
    Table table({"STATUS", "RUN", "REASON", "MESSAGE", "RETRY AFTER MS"});
    table.Add({MemberText(body, "status"), MemberText(body, "run"),
               MemberText(body, "reason"), MemberText(body, "message"),
               MemberText(body, "retry_after_ms")});
    session.out() << table.ToText();
    for (const json& fault : body.value("faults", json::array())) {
      session.out() << MemberText(fault, "place") << ": "
                    << MemberText(fault, "message") << '\n';
    }
  } else {
    session.out() << "job " << MemberText(body, "id") << ": "
                  << MemberText(body, "status") << '\n';
    std::size_t index = 0;
    Table table({"TASK", "RESULT"});
    for (const json& result : body.value("results", json::array())) {
      table.Add({std::to_string(index++), ToJsonLine(result)});
    }
    session.out() << (index == 0 ? "" : table.ToText());
  }
  if (response.status == kBadRequest) {
    return ExitCode::kInvalid;
  }
  return is_error ? ExitCode::kRefused : ExitCode::kOk;
}

// Submits one job under one id, as often as it takes to get an answer.
class Submission {
 public:
  Submission(Session& session, JobFile file)
      : session_(session), file_(std::move(file)) {}

  ExitCode Run() {
    entries_ = session_.arguments().entries;
    id_ = session_.arguments().id;
    if (id_.empty()) {
      if (const auto code = Reserve()) {
        return *code;
      }
    }
    session_.err() << "jaypick: submitting as " << id_ << '\n';
    return SubmitUntilAnswered();
  }

 private:
  // Reserves an id. An id whose answer was lost is never used, so every entry
  // may be asked. An entry that drains or isn't ready is left out as well.
  std::optional<ExitCode> Reserve() {
    const json body = {{"owner", file_.owner}, {"count", 1}};
    while (!entries_.empty()) {
      const auto result = session_.client().Send(
          entries_.front(), Post("/v1/ids", body.dump()), kShortTimeout);
      const auto* const response = std::get_if<http::Response>(&result);
      const bool is_last = entries_.size() == 1;
      if (response != nullptr &&
          (response->status < kFirstServerError || is_last)) {
        return TakeId(*response);
      }
      Report(entries_.front(),
             response == nullptr
                 ? std::get<http::ClientError>(result).message
                 : "no id: " + MemberText(ParseBody(*response), "reason"));
      entries_.erase(entries_.begin());
    }
    return session_.Fail(ExitCode::kUnreachable,
                         "no entry answered; nothing was submitted");
  }

  // Prints what went wrong at an entry, unless it is what went wrong before.
  void Report(const Address& entry, const std::string& message) {
    std::string& last = reported_[entry];
    if (last != message) {
      session_.err() << "jaypick: " << entry.host << ":" << entry.port << ": "
                     << message << '\n';
    }
    last = message;
  }

  std::optional<ExitCode> TakeId(const http::Response& response) {
    if (response.status >= kFirstError) {
      return PrintAnswer(session_, response);
    }
    const json body = ParseBody(response);
    const auto ids = body.value("ids", json::array());
    if (ids.empty() || !ids[0].is_string()) {
      return session_.Fail(ExitCode::kUnreachable,
                           "the entry's answer has no id");
    }
    id_ = ids[0].get<std::string>();
    return std::nullopt;
  }

  // Every attempt carries the same id, so that no task starts twice. The entry
  // that issued the id comes first; others forward to it.
  ExitCode SubmitUntilAnswered() {
    const http::Request request = Post(
        "/v1/jobs", SubmissionBody(file_, id_, !session_.arguments().async));
    const Duration timeout = file_.timeout + kShortTimeout;
    const auto end = Clock::now() + file_.timeout + kGrace;
    std::optional<http::Response> last;
    for (std::size_t attempt = 0; attempt == 0 || Clock::now() < end;
         ++attempt) {
      const Address& entry = entries_[attempt % entries_.size()];
      auto result = session_.client().Send(entry, request, timeout);
      if (auto* const response = std::get_if<http::Response>(&result)) {
        if (!IsUnsettled(*response)) {
          return PrintAnswer(session_, *response);
        }
        last = std::move(*response);
      } else {
        Report(entry, std::get<http::ClientError>(result).message +
                          "; submitting again as " + id_);
      }
      session_.client().Sleep(kPause);
    }
    if (last) {
      PrintAnswer(session_, *last);
    }
    return session_.Fail(
        ExitCode::kUnreachable,
        "the outcome is not known; ask with: jaypick status " + id_);
  }

  // True if another attempt may get a better answer: the issuer is unreachable,
  // or the answer isn't one of the caller API.
  static bool IsUnsettled(const http::Response& response) {
    const json body = ParseBody(response);
    return response.status >= kFirstServerError &&
           (!body.contains("run") ||
            MemberText(body, "reason") == "issuer_unreachable");
  }

  Session& session_;
  JobFile file_;
  std::vector<Address> entries_;
  std::string id_;
  std::map<Address, std::string> reported_;
};

// Prints what is wrong with the flags of a command about one job.
std::optional<ExitCode> CheckJobFlags(Session& session) {
  if (session.arguments().entries.empty()) {
    return session.Fail(ExitCode::kInvalid, "--entry is required");
  }
  if (session.arguments().owner.empty()) {
    return session.Fail(ExitCode::kInvalid, "--owner is required");
  }
  if (!ParseJobId(session.arguments().positional[0])) {
    return session.Fail(
        ExitCode::kInvalid,
        "\"" + session.arguments().positional[0] + "\" is not a job id");
  }
  return std::nullopt;
}

ExitCode SendAboutJob(Session& session,
                      const http::Request& request,
                      Duration timeout) {
  const auto response =
      session.SendToAny(session.arguments().entries, request, timeout);
  if (!response) {
    return session.Fail(ExitCode::kUnreachable, "no entry answered");
  }
  return PrintAnswer(session, *response);
}

}  // namespace

ExitCode Submit(Session& session) {
  if (session.arguments().entries.empty()) {
    return session.Fail(ExitCode::kInvalid, "--entry is required");
  }
  if (!session.arguments().id.empty() && !ParseJobId(session.arguments().id)) {
    return session.Fail(ExitCode::kInvalid, "--id is not a job id");
  }
  auto file = ReadJobFile(session.arguments().positional[0]);
  if (const auto* const findings = std::get_if<Findings>(&file)) {
    for (const Finding& finding : *findings) {
      session.err() << ToString(finding) << '\n';
    }
    return ExitCode::kInvalid;
  }
  return Submission(session, std::get<JobFile>(std::move(file))).Run();
}

ExitCode Cancel(Session& session) {
  if (const auto code = CheckJobFlags(session)) {
    return *code;
  }
  const json body = {{"owner", session.arguments().owner}};
  return SendAboutJob(
      session,
      Post("/v1/jobs/" + session.arguments().positional[0] + "/cancel",
           ToJsonLine(body)),
      kShortTimeout);
}

ExitCode Status(Session& session) {
  if (const auto code = CheckJobFlags(session)) {
    return *code;
  }
  const bool wait = session.arguments().wait;
  const http::Request request{
      .method = http::Method::kGet,
      .path = "/v1/jobs/" + session.arguments().positional[0],
      .query = {{"owner", session.arguments().owner},
                {"wait", wait ? "true" : "false"}},
      .headers = {},
      .body = ""};
  return SendAboutJob(session, request,
                      wait ? kMaxJobTimeout + kGrace : kShortTimeout);
}

}  // namespace jaypick::cli
