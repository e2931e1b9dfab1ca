#include "tests/simulation/callers.h"

#include <algorithm>
#include <utility>

namespace jaypick::simulation {
namespace {

constexpr const char* kOwnerNames[] = {"north", "south"};
constexpr Duration kDefaultTimeout = seconds(5);
// Longest time to claim a key: three transactions of 800 ms each, plus message
// delays.
constexpr Duration kMaxClaimTime = milliseconds(2600);
// Reserved ids kept per owner; when there are more, the oldest are dropped
// unused.
constexpr std::size_t kMaxIdsPerOwner = 500;
constexpr std::uint32_t kReserveLimit = 100;
// Number of latest submissions that `CancelHalf` chooses from.
constexpr std::int64_t kRecentSubmissions = 100;

}  // namespace

void Callers::Start() {
  for (int owner = 0; owner < kOwners; ++owner) {
    Reserve(owner, owner);
  }
  ScheduleNextJob();
}

void Callers::ScheduleNextJob() {
  if (cluster_.has_load_ended) {
    return;
  }
  SubmitNewJob();
  cluster_.scheduler.After(cluster_.random.Span(Duration(0), milliseconds(30)),
                           [this] { ScheduleNextJob(); });
}

void Callers::Burst(int jobs) {
  for (int job = 0; job < jobs; ++job) {
    SubmitNewJob();
  }
}

void Callers::SubmitNewJob() {
  Random& random = cluster_.random;
  const int owner = static_cast<int>(random.Between(0, kOwners - 1));
  const int domain = static_cast<int>(random.Between(0, kDomains - 1));
  JobRequest request = MakeRequest(owner);
  if (random.Chance(0.2)) {
    request.identity = SubmissionKey{std::to_string(++last_key_)};
  } else {
    std::vector<JobId>& ids = ids_[static_cast<std::size_t>(owner)];
    if (ids.size() < 20) {
      Reserve(owner, domain);
    }
    if (ids.empty()) {
      return;
    }
    std::swap(random.Pick(ids), ids.back());
    request.identity = std::move(ids.back());
    ids.pop_back();
  }
  const double size = static_cast<double>(random.Between(0, 999)) / 1000;
  const std::int64_t tasks = size < 0.5     ? 1
                             : size < 0.93  ? random.Between(2, 8)
                             : size < 0.995 ? random.Between(9, 64)
                                            : random.Between(0, 420);
  const bool is_idempotent = request.kind == "match" || request.kind == "long";
  const std::uint64_t number = cluster_.checker
                                   .Add(std::move(request), is_idempotent,
                                        static_cast<std::size_t>(tasks))
                                   .number;
  const Submission& submission = cluster_.checker.submission(number);
  Submit(number, IssuerOf(submission, domain), domain);
  // Concurrent duplicates, sent to the same entry, to another one, or to one in
  // another domain.
  while (random.Chance(0.15)) {
    Submit(number, AnyEntry(), domain);
  }
  ResubmitIfUnanswered(number, domain, 3);
  ScheduleFollowUps(number, domain);
}

JobRequest Callers::MakeRequest(int owner) {
  Random& random = cluster_.random;
  JobRequest request{.owner = kOwnerNames[owner], .service = "fitting"};
  const std::int64_t kind = random.Between(0, 99);
  request.kind = kind < 45   ? "match"
                 : kind < 88 ? "book"
                 : kind < 94 ? "long"
                 : kind < 98 ? "huge"
                             : "none";
  if (random.Chance(0.5)) {
    request.timeout = random.Span(milliseconds(-50), seconds(8));
  }
  request.wait = random.Chance(0.85);
  request.reserve = static_cast<std::uint32_t>(random.Between(0, 3));
  return request;
}

void Callers::Reserve(int owner, int domain) {
  const std::string name = kOwnerNames[owner];
  const auto count =
      static_cast<std::uint32_t>(cluster_.random.Between(1, 200));
  IncomingCall call{.message = ReserveIds{.owner = name, .count = count},
                    .answer_timeout = seconds(1)};
  call.respond = [this, name, domain](const CallAnswer& answer) {
    if (const auto* reserved = std::get_if<ReservedIds>(&answer)) {
      StoreIds(reserved->ids, name);
    }
  };
  Call(std::move(call), EntryOf(domain), domain);
}

void Callers::Submit(std::uint64_t submission, Entry& entry, int domain) {
  const Submission& sent = cluster_.checker.submission(submission);
  SubmitJob message{.request = sent.request};
  if (cluster_.random.Chance(0.02)) {
    message.request.reserve = kReserveLimit * 10;
  }
  Call({.message = std::move(message),
        .submission = submission,
        .answer_timeout = AnswerTimeoutOf(sent)},
       entry, domain);
}

void Callers::ResubmitIfUnanswered(std::uint64_t submission,
                                   int domain,
                                   int tries) {
  const Submission& sent = cluster_.checker.submission(submission);
  const Duration wait =
      cluster_.random.Span(milliseconds(200), AnswerTimeoutOf(sent));
  cluster_.scheduler.After(wait, [this, submission, domain, tries] {
    if (cluster_.checker.submission(submission).has_answer) {
      return;
    }
    Submit(submission, AnyEntry(), domain);
    if (tries > 1) {
      ResubmitIfUnanswered(submission, domain, tries - 1);
    }
  });
}

void Callers::ScheduleFollowUps(std::uint64_t submission, int domain) {
  Random& random = cluster_.random;
  const auto schedule_with_chance = [&](double chance, Duration longest,
                                        auto follow_up) {
    if (random.Chance(chance)) {
      cluster_.scheduler.After(random.Span(Duration(0), longest), follow_up);
    }
  };
  // Resubmits at a random time: possibly after the answer, and possibly after
  // the entry has dropped its record of the job.
  schedule_with_chance(0.1, seconds(90), [this, submission, domain] {
    Submit(submission, AnyEntry(), domain);
  });
  schedule_with_chance(0.2, seconds(4), [this, submission, domain] {
    Submission& queried = cluster_.checker.submission(submission);
    if (const auto* id = std::get_if<JobId>(&queried.request.identity)) {
      Call({.message = QueryJob{.id = *id,
                                .owner = queried.request.owner,
                                .wait = cluster_.random.Chance(0.7)},
            .submission = submission,
            .answer_timeout = AnswerTimeoutOf(queried)},
           AnyEntry(), domain);
    }
  });
  schedule_with_chance(0.03, seconds(2), [this, submission, domain] {
    Cancel(submission, domain);
  });
}

void Callers::CancelHalf() {
  const auto last = static_cast<std::int64_t>(cluster_.checker.submissions());
  for (std::int64_t number =
           std::max<std::int64_t>(1, last - kRecentSubmissions);
       number <= last; ++number) {
    if (cluster_.random.Chance(0.5)) {
      Cancel(static_cast<std::uint64_t>(number),
             static_cast<int>(cluster_.random.Between(0, kDomains - 1)));
    }
  }
}

void Callers::Cancel(std::uint64_t submission, int domain) {
  const Submission& cancelled = cluster_.checker.submission(submission);
  const auto* const id = std::get_if<JobId>(&cancelled.request.identity);
  const std::optional<JobId> target = id != nullptr ? *id : cancelled.job_id;
  if (!target) {
    return;
  }
  Call({.message = CancelJob{.id = *target, .owner = cancelled.request.owner},
        .submission = submission,
        .answer_timeout = AnswerTimeoutOf(cancelled)},
       AnyEntry(), domain);
}

void Callers::Call(IncomingCall call, Entry& entry, int domain) {
  Cluster& cluster = cluster_;
  const std::uint64_t submission = call.submission;
  const bool is_closed = submission != 0 && cluster.random.Chance(0.03);
  const auto relay = [this, &entry, domain, submission,
                      respond =
                          std::move(call.respond)](const CallAnswer& answer) {
    cluster_.Send(entry.domain(), domain, [this, submission, respond, answer] {
      if (respond) {
        respond(answer);
      } else {
        OnAnswer(submission, answer);
      }
    });
  };
  call.respond = relay;
  cluster.Send(domain, entry.domain(), [&cluster, &entry, call, is_closed] {
    const std::uint64_t generation = entry.generation();
    entry.Post(generation, [&cluster, &entry, call, is_closed, generation] {
      const std::uint64_t number = entry.Receive(call);
      if (is_closed) {
        cluster.scheduler.After(
            cluster.random.Span(Duration(0), seconds(1)),
            [&entry, number, generation] {
              entry.Post(generation, [&entry, number] { entry.Close(number); });
            });
      }
    });
  });
}

void Callers::OnAnswer(std::uint64_t number, const CallAnswer& answer) {
  Submission& submission = cluster_.checker.submission(number);
  const auto store_ids = [&](const std::vector<JobId>& ids) {
    if (ids.size() > kReserveLimit) {
      cluster_.checker.Fail(number, "more ids reserved than the limit allows");
    }
    StoreIds(ids, submission.request.owner);
  };
  submission.has_answer = true;
  if (const auto* complete = std::get_if<CompleteAnswer>(&answer)) {
    store_ids(complete->next_ids);
  } else if (const auto* refusal = std::get_if<Refusal>(&answer)) {
    store_ids(refusal->next_ids);
  } else if (const auto* running = std::get_if<RunningAnswer>(&answer)) {
    store_ids(running->next_ids);
  }
}

void Callers::StoreIds(const std::vector<JobId>& ids,
                       const std::string& owner) {
  std::vector<JobId>& stored = ids_[owner == kOwnerNames[0] ? 0 : 1];
  stored.insert(stored.end(), ids.begin(), ids.end());
  if (stored.size() > kMaxIdsPerOwner) {
    const auto excess =
        static_cast<std::ptrdiff_t>(stored.size() - kMaxIdsPerOwner);
    stored.erase(stored.begin(), stored.begin() + excess);
  }
}

Duration Callers::AnswerTimeoutOf(const Submission& submission) const {
  const Duration timeout = submission.request.timeout.value_or(kDefaultTimeout);
  return std::max(timeout, Duration(0)) + kMaxClaimTime;
}

Entry& Callers::AnyEntry() {
  return *cluster_.random.Pick(cluster_.entries);
}

Entry& Callers::EntryOf(int domain) {
  const std::int64_t row = cluster_.random.Between(0, kEntriesPerDomain - 1);
  return *cluster_.entries[static_cast<std::size_t>(row * kDomains + domain)];
}

Entry& Callers::IssuerOf(const Submission& submission, int domain) {
  const auto* const id = std::get_if<JobId>(&submission.request.identity);
  if (id == nullptr || cluster_.random.Chance(0.1)) {
    return EntryOf(domain);
  }
  return **std::ranges::find_if(cluster_.entries, [&](const auto& entry) {
    return entry->name() == id->entry;
  });
}

}  // namespace jaypick::simulation
