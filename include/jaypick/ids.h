// Identifiers of jobs, attempts and calls.
#ifndef JAYPICK_IDS_H_
#define JAYPICK_IDS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jaypick {

// Identifies one run of an entry process: a random number chosen at its start.
struct Incarnation {
  std::uint64_t value = 0;

  friend auto operator<=>(const Incarnation&, const Incarnation&) = default;
};

// A submission id, issued by one incarnation of one entry.
//
// Only the process that issued an id starts tasks under it. This makes
// submissions idempotent without coordination between entries.
struct JobId {
  std::string entry;
  Incarnation incarnation;
  std::uint64_t counter = 0;

  friend auto operator<=>(const JobId&, const JobId&) = default;
};

// Formats `id` as `<entry>.<incarnation, 16 hex digits>.<counter>`.
std::string ToString(const JobId& id);

// Parses the output of `ToString(JobId)`.
//
// Returns nothing if `text` is not in exactly this form.
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

// An idempotency key chosen by a caller that has no reserved id.
struct SubmissionKey {
  std::string value;

  friend auto operator<=>(const SubmissionKey&, const SubmissionKey&) = default;
};

// Identifies a call that waits for an answer at this entry.
struct CallId {
  std::uint64_t value = 0;

  friend auto operator<=>(const CallId&, const CallId&) = default;
};

}  // namespace jaypick

#endif  // JAYPICK_IDS_H_
