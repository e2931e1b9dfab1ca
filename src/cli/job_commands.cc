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

constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;
constexpr int kBadRequest = 400;

constexpr Duration kShortTimeout = std::chrono::seconds(5);
// Time beyond the job's own timeout, for the response to arrive and for retries
// after a lost connection.
constexpr Duration kResponseMargin = std::chrono::seconds(10);
constexpr Duration kRetryInterval = std::chrono::milliseconds(300);

// A validated job file. `text` is the unmodified file, because payloads must
// reach the entry exactly as they were written.
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

// The request body of a submission: the job file with `id` and `wait` inserted
// before its members.
std::string SubmissionBody(const JobFile& file,
                           const std::string& id,
                           bool wait) {
  const json inserted = {{"id", id}, {"wait", wait}};
  std::string body = inserted.dump();
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

// Prints a response of the caller API and returns the exit code for it.
ExitCode PrintResponse(Session& session, const http::Response& response) {
  const json body = ParseBody(response);
  const bool is_error = response.status >= kFirstErrorStatus;
  if (session.arguments().json) {
    // Unmodified, because results may contain numbers of more than 64 bits.
    session.out() << response.body << '\n';
  } else if (is_error) {
    Table table({"STATUS", "RUN", "REASON", "MESSAGE", "RETRY AFTER MS"});
    table.Add({MemberText(body, "status"), MemberText(body, "run"),
               MemberText(body, "reason"), MemberText(body, "message"),
               MemberText(body, "retry_after_ms")});
    session.out() << table.ToText();
    for (const json& error : body.value("faults", json::array())) {
      session.out() << MemberText(error, "place") << ": "
                    << MemberText(error, "message") << '\n';
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

// Submits one job and retries under the same id until it gets a conclusive
// response or its time has run out.
class Submission {
 public:
  Submission(Session& session, JobFile file)
      : session_(session), file_(std::move(file)) {}

  ExitCode Run() {
    entries_ = session_.arguments().entries;
    id_ = session_.arguments().id;
    if (id_.empty()) {
      if (const auto code = ReserveId()) {
        return *code;
      }
    }
    session_.err() << "jaypick: submitting as " << id_ << '\n';
    return SubmitWithRetries();
  }

 private:
  // Reserves a job id. Entries are tried in turn, which is safe because an id
  // whose response was lost is never used. Entries that do not respond, drain
  // or are not ready are removed from `entries_`.
  std::optional<ExitCode> ReserveId() {
    const json body = {{"owner", file_.owner}, {"count", 1}};
    while (!entries_.empty()) {
      const auto result = session_.client().Send(
          entries_.front(), Post("/v1/ids", body.dump()), kShortTimeout);
      const auto* const response = std::get_if<http::Response>(&result);
      const bool is_last = entries_.size() == 1;
      if (response != nullptr &&
          (response->status < kFirstServerErrorStatus || is_last)) {
        return StoreReservedId(*response);
      }
      ReportIfChanged(
          entries_.front(),
          response == nullptr
              ? std::get<http::ClientError>(result).message
              : "no id: " + MemberText(ParseBody(*response), "reason"));
      entries_.erase(entries_.begin());
    }
    return session_.Fail(ExitCode::kUnreachable,
                         "no entry responded; nothing was submitted");
  }

  // Prints an error of an entry unless it is the same as its previous one.
  void ReportIfChanged(const Address& entry, const std::string& message) {
    std::string& last = last_reported_[entry];
    if (last != message) {
      session_.err() << "jaypick: " << entry.host << ":" << entry.port << ": "
                     << message << '\n';
    }
    last = message;
  }

  std::optional<ExitCode> StoreReservedId(const http::Response& response) {
    if (response.status >= kFirstErrorStatus) {
      return PrintResponse(session_, response);
    }
    const json body = ParseBody(response);
    const auto ids = body.value("ids", json::array());
    if (ids.empty() || !ids[0].is_string()) {
      return session_.Fail(ExitCode::kUnreachable,
                           "the entry's response has no id");
    }
    id_ = ids[0].get<std::string>();
    return std::nullopt;
  }

  // All attempts use the same id, so that no task starts twice. The entry that
  // issued the id is tried first; other entries forward the request to it.
  ExitCode SubmitWithRetries() {
    const http::Request request = Post(
        "/v1/jobs", SubmissionBody(file_, id_, !session_.arguments().async));
    const Duration timeout = file_.timeout + kShortTimeout;
    const auto deadline = Clock::now() + file_.timeout + kResponseMargin;
    std::optional<http::Response> last;
    for (std::size_t attempt = 0; attempt == 0 || Clock::now() < deadline;
         ++attempt) {
      const Address& entry = entries_[attempt % entries_.size()];
      auto result = session_.client().Send(entry, request, timeout);
      if (auto* const response = std::get_if<http::Response>(&result)) {
        if (!ShouldRetry(*response)) {
          return PrintResponse(session_, *response);
        }
        last = std::move(*response);
      } else {
        ReportIfChanged(entry, std::get<http::ClientError>(result).message +
                                   "; submitting again as " + id_);
      }
      session_.client().Sleep(kRetryInterval);
    }
    if (last) {
      PrintResponse(session_, *last);
    }
    return session_.Fail(
        ExitCode::kUnreachable,
        "the outcome is not known; query it with: jaypick status " + id_);
  }

  // True if the request should be retried: the entry that issued the id is
  // unreachable, or the response is not from the caller API.
  static bool ShouldRetry(const http::Response& response) {
    const json body = ParseBody(response);
    return response.status >= kFirstServerErrorStatus &&
           (!body.contains("run") ||
            MemberText(body, "reason") == "issuer_unreachable");
  }

  Session& session_;
  JobFile file_;
  std::vector<Address> entries_;
  std::string id_;
  std::map<Address, std::string> last_reported_;
};

// Checks the flags of a command about one job. Prints the first error and
// returns its exit code.
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
    return session.Fail(ExitCode::kUnreachable, "no entry responded");
  }
  return PrintResponse(session, *response);
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
                      wait ? kMaxJobTimeout + kResponseMargin : kShortTimeout);
}

}  // namespace jaypick::cli
