#include "tests/simulation/callers.h"

#include <algorithm>
#include <utility>

namespace jaypick::simulation {
namespace {

constexpr const char* kOwnerNames[] = {"north", "south"};
constexpr Duration kDefaultTimeout = seconds(5);
// Longest claim of a key: three transactions of 800 ms; and message delays.
constexpr Duration kClaimTime = milliseconds(2600);
// Ids kept of one owner; older ones are left unused.
constexpr std::size_t kKeptIds = 500;
constexpr std::uint32_t kReserveLimit = 100;
// Submissions that cancellations and late questions choose from.
constexpr std::int64_t kRecent = 100;

}  // namespace

void Callers::Begin() {
  for (int owner = 0; owner < kOwners; ++owner) {
    Reserve(owner, owner);
  }
  Next();
}

void Callers::Next() {
  if (world_.is_draining_run) {
    return;
  }
  Launch();
  world_.scheduler.After(world_.random.Span(Duration(0), milliseconds(30)),
                         [this] { Next(); });
}

void Callers::Burst(int jobs) {
  for (int job = 0; job < jobs; ++job) {
    Launch();
  }
}

void Callers::Launch() {
  Random& random = world_.random;
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
  const std::uint64_t number = world_.witness
                                   .Add(std::move(request), is_idempotent,
                                        static_cast<std::size_t>(tasks))
                                   .number;
  const Submission& submission = world_.witness.submission(number);
  Submit(number, IssuerOf(submission, domain), domain);
  // Copies at the same time: same entry, another one, another domain.
  while (random.Chance(0.15)) {
    Submit(number, AnyEntry(), domain);
  }
  AwaitAnswer(number, domain, 3);
  AskLater(number, domain);
}

JobRequest Callers::MakeRequest(int owner) {
  Random& random = world_.random;
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
  const auto count = static_cast<std::uint32_t>(world_.random.Between(1, 200));
  IncomingCall call{.message = ReserveIds{.owner = name, .count = count},
                    .bound = seconds(1)};
  call.respond = [this, name, domain](const CallAnswer& answer) {
    if (const auto* reserved = std::get_if<ReservedIds>(&answer)) {
      KeepIds(reserved->ids, name);
    }
  };
  Call(std::move(call), EntryOf(domain), domain);
}

void Callers::Submit(std::uint64_t submission, Entry& entry, int domain) {
  const Submission& sent = world_.witness.submission(submission);
  SubmitJob message{.request = sent.request};
  if (world_.random.Chance(0.02)) {
    message.request.reserve = kReserveLimit * 10;
  }
  Call({.message = std::move(message),
        .submission = submission,
        .bound = BoundOf(sent)},
       entry, domain);
}

void Callers::AwaitAnswer(std::uint64_t submission, int domain, int tries) {
  const Submission& sent = world_.witness.submission(submission);
  const Duration patience =
      world_.random.Span(milliseconds(200), BoundOf(sent));
  world_.scheduler.After(patience, [this, submission, domain, tries] {
    if (world_.witness.submission(submission).has_answer) {
      return;
    }
    Submit(submission, AnyEntry(), domain);
    if (tries > 1) {
      AwaitAnswer(submission, domain, tries - 1);
    }
  });
}

void Callers::AskLater(std::uint64_t submission, int domain) {
  Random& random = world_.random;
  const auto later = [&](double chance, Duration longest, auto ask) {
    if (random.Chance(chance)) {
      world_.scheduler.After(random.Span(Duration(0), longest), ask);
    }
  };
  // Also after the answer, and after the answer has expired.
  later(0.1, seconds(90),
        [this, submission, domain] { Submit(submission, AnyEntry(), domain); });
  later(0.2, seconds(4), [this, submission, domain] {
    Submission& asked = world_.witness.submission(submission);
    if (const auto* id = std::get_if<JobId>(&asked.request.identity)) {
      Call({.message = QueryJob{.id = *id,
                                .owner = asked.request.owner,
                                .wait = world_.random.Chance(0.7)},
            .submission = submission,
            .bound = BoundOf(asked)},
           AnyEntry(), domain);
    }
  });
  later(0.03, seconds(2),
        [this, submission, domain] { Cancel(submission, domain); });
}

void Callers::CancelHalf() {
  const auto last = static_cast<std::int64_t>(world_.witness.submissions());
  for (std::int64_t number = std::max<std::int64_t>(1, last - kRecent);
       number <= last; ++number) {
    if (world_.random.Chance(0.5)) {
      Cancel(static_cast<std::uint64_t>(number),
             static_cast<int>(world_.random.Between(0, kDomains - 1)));
    }
  }
}

void Callers::Cancel(std::uint64_t submission, int domain) {
  const Submission& cancelled = world_.witness.submission(submission);
  const auto* const id = std::get_if<JobId>(&cancelled.request.identity);
  const std::optional<JobId> target = id != nullptr ? *id : cancelled.runs_as;
  if (!target) {
    return;
  }
  Call({.message = CancelJob{.id = *target, .owner = cancelled.request.owner},
        .submission = submission,
        .bound = BoundOf(cancelled)},
       AnyEntry(), domain);
}

void Callers::Call(IncomingCall call, Entry& entry, int domain) {
  World& world = world_;
  const std::uint64_t submission = call.submission;
  const bool is_closed = submission != 0 && world.random.Chance(0.03);
  const auto relay = [this, &entry, domain, submission,
                      respond =
                          std::move(call.respond)](const CallAnswer& answer) {
    world_.Send(entry.domain(), domain, [this, submission, respond, answer] {
      if (respond) {
        respond(answer);
      } else {
        OnAnswer(submission, answer);
      }
    });
  };
  call.respond = relay;
  world.Send(domain, entry.domain(), [&world, &entry, call, is_closed] {
    const std::uint64_t life = entry.life();
    entry.Post(life, [&world, &entry, call, is_closed, life] {
      const std::uint64_t number = entry.Receive(call);
      if (is_closed) {
        world.scheduler.After(
            world.random.Span(Duration(0), seconds(1)), [&entry, number, life] {
              entry.Post(life, [&entry, number] { entry.Close(number); });
            });
      }
    });
  });
}

void Callers::OnAnswer(std::uint64_t number, const CallAnswer& answer) {
  Submission& submission = world_.witness.submission(number);
  const auto keep = [&](const std::vector<JobId>& ids) {
    if (ids.size() > kReserveLimit) {
      world_.witness.Fail(number, "more fresh ids than the limit");
    }
    KeepIds(ids, submission.request.owner);
  };
  submission.has_answer = true;
  if (const auto* complete = std::get_if<CompleteAnswer>(&answer)) {
    keep(complete->next_ids);
  } else if (const auto* refusal = std::get_if<Refusal>(&answer)) {
    keep(refusal->next_ids);
  } else if (const auto* running = std::get_if<RunningAnswer>(&answer)) {
    keep(running->next_ids);
  }
}

void Callers::KeepIds(const std::vector<JobId>& ids, const std::string& owner) {
  std::vector<JobId>& kept = ids_[owner == kOwnerNames[0] ? 0 : 1];
  kept.insert(kept.end(), ids.begin(), ids.end());
  if (kept.size() > kKeptIds) {
    const auto excess = static_cast<std::ptrdiff_t>(kept.size() - kKeptIds);
    kept.erase(kept.begin(), kept.begin() + excess);
  }
}

Duration Callers::BoundOf(const Submission& submission) const {
  const Duration timeout = submission.request.timeout.value_or(kDefaultTimeout);
  return std::max(timeout, Duration(0)) + kClaimTime;
}

Entry& Callers::AnyEntry() {
  return *world_.random.Pick(world_.entries);
}

Entry& Callers::EntryOf(int domain) {
  const std::int64_t row = world_.random.Between(0, kEntriesPerDomain - 1);
  return *world_.entries[static_cast<std::size_t>(row * kDomains + domain)];
}

Entry& Callers::IssuerOf(const Submission& submission, int domain) {
  const auto* const id = std::get_if<JobId>(&submission.request.identity);
  if (id == nullptr || world_.random.Chance(0.1)) {
    return EntryOf(domain);
  }
  return **std::ranges::find_if(world_.entries, [&](const auto& entry) {
    return entry->name() == id->entry;
  });
}

}  // namespace jaypick::simulation
