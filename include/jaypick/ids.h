// Identities of jobs, attempts and calls.
#ifndef JAYPICK_IDS_H_
#define JAYPICK_IDS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jaypick {

// One life of an entry process: a random number chosen at process start.
struct Incarnation {
  std::uint64_t value = 0;

  friend auto operator<=>(const Incarnation&, const Incarnation&) = default;
};

// A submission id, issued by one incarnation of one entry.
//
// Only the process that issued an id ever starts tasks under it. That makes a
// submission idempotent without agreement between entries.
struct JobId {
  std::string entry;
  Incarnation incarnation;
  std::uint64_t counter = 0;

  friend auto operator<=>(const JobId&, const JobId&) = default;
};

// Formats `id` as `<entry>.<incarnation, 16 hex digits>.<counter>`.
std::string ToString(const JobId& id);

// Parses the form that `ToString(JobId)` writes.
//
// Returns nothing if `text` has another form.
std::optional<JobId> ParseJobId(std::string_view text);

// One attempt to run one task of a job on an upstream.
struct AttemptId {
  JobId job;
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

// Formats `id` as `<job id>.<task index>.<attempt number>`.
std::string ToString(const AttemptId& id);

// A submission key chosen by a caller that has no reserved id.
struct SubmissionKey {
  std::string value;

  friend auto operator<=>(const SubmissionKey&, const SubmissionKey&) = default;
};

// A call that waits for an answer at this entry's interface.
struct CallId {
  std::uint64_t value = 0;

  friend auto operator<=>(const CallId&, const CallId&) = default;
};

}  // namespace jaypick

#endif  // JAYPICK_IDS_H_
