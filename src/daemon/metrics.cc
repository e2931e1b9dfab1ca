#include "daemon/metrics.h"

#include <prometheus/text_serializer.h>

#include <array>
#include <variant>

#include "daemon/log.h"

namespace jaypick::daemon {
namespace {

constexpr double kMillisecondsPerSecond = 1000;
// Label value for owners and kinds that no admitted job has had.
constexpr std::string_view kUnknownLabel = "unknown";

// In seconds, from the shortest round trip over loopback to the longest job
// timeout.
const prometheus::Histogram::BucketBoundaries& ResponseBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets = {
      0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
      0.5,   1,      2.5,   5,    10,    25,   60};
  return buckets;
}

std::string_view WasteCauseName(WasteCause cause) {
  switch (cause) {
    case WasteCause::kRetry:
      return "retry";
    case WasteCause::kRefusedStart:
      return "refused_start";
    case WasteCause::kForward:
      return "forward";
    case WasteCause::kProbe:
      return "probe";
    case WasteCause::kAbandoned:
      return "abandoned";
    case WasteCause::kPeerExchange:
      return "peer_exchange";
    case WasteCause::kStaleAnswer:
      return "stale_answer";
  }
  return "other";
}

constexpr std::array<std::string_view, std::variant_size_v<AttemptOutcome>>
    kOutcomeNames = {"succeeded", "failed", "refused", "not_sent", "lost"};

}  // namespace

Metrics::Metrics()
    : admitted_jobs_(AddCounters("jaypick_jobs_admitted_total",
                                 "Jobs admitted, by owner and kind.")),
      admitted_tasks_(AddCounters("jaypick_tasks_admitted_total",
                                  "Tasks admitted, by owner and kind.")),
      refused_(AddCounters("jaypick_jobs_refused_total",
                           "Jobs refused or failed, by owner, kind, reason "
                           "and run state.")),
      started_(AddCounters("jaypick_tasks_started_total",
                           "Attempts started, by owner and kind.")),
      retried_(AddCounters("jaypick_tasks_retried_total",
                           "Placements after the first, by owner and kind.")),
      unknown_(AddCounters("jaypick_attempts_unknown_total",
                           "Attempts whose outcome is not known, by owner and "
                           "kind.")),
      wasted_by_kind_(AddCounters("jaypick_tasks_wasted_total",
                                  "Attempts that brought no result, by owner "
                                  "and kind.")),
      attempts_(AddCounters("jaypick_attempts_ended_total",
                            "Attempts ended, by outcome.")),
      waste_(AddCounters("jaypick_wasted_messages_total",
                         "Messages beyond the minimum, by cause.")),
      polls_(AddCounters("jaypick_polls_total",
                         "Calls to the platform and to peers, by target and "
                         "result.")),
      violations_(AddCounters("jaypick_invariant_violations_total",
                              "Invariants found broken.")),
      key_claims_(AddCounters("jaypick_key_claims_total",
                              "Submission keys claimed at the platform.")
                      .Add({})),
      forwarded_(AddCounters("jaypick_calls_forwarded_total",
                             "Calls handed to the entry that issued the id.")
                     .Add({})),
      response_times_(prometheus::BuildHistogram()
                          .Name("jaypick_job_response_seconds")
                          .Help("Time from arrival to answer of complete jobs, "
                                "by owner and kind.")
                          .Register(registry_)),
      configuration_version_(AddGauge("jaypick_configuration_version",
                                      "Version of the configuration in "
                                      "force.")),
      configuration_age_(AddGauge("jaypick_configuration_age_seconds",
                                  "Time since the configuration in force was "
                                  "accepted.")),
      instances_revision_(AddGauge("jaypick_instances_revision",
                                   "Revision of the instance list.")),
      members_(prometheus::BuildGauge()
                   .Name("jaypick_members")
                   .Help("Listed instances, by role and state.")
                   .Register(registry_)),
      ejected_(AddGauge("jaypick_upstreams_ejected",
                        "Upstreams that are ejected now.")),
      active_jobs_(
          AddGauge("jaypick_jobs_active", "Jobs that have not ended.")),
      queued_tasks_(AddGauge("jaypick_tasks_queued", "Tasks waiting here.")),
      running_tasks_(
          AddGauge("jaypick_tasks_running", "Attempts in flight from here.")) {}

void Metrics::OnAdmitted(std::string_view owner,
                         std::string_view kind,
                         std::size_t tasks) {
  Series& series = FindSeries(owner, kind);
  series.admitted_jobs->Increment();
  series.admitted_tasks->Increment(static_cast<double>(tasks));
}

void Metrics::OnRefused(std::string_view owner,
                        std::string_view kind,
                        const Refusal& refusal) {
  // Callers can send arbitrary names. Names that no admitted job has had share
  // one label value, so that the number of time series stays bounded.
  const bool is_known = series_.contains(
      {.owner = std::string(owner), .kind = std::string(kind)});
  refused_
      .Add({{"owner", std::string(is_known ? owner : kUnknownLabel)},
            {"kind", std::string(is_known ? kind : kUnknownLabel)},
            {"reason", std::string(ToString(refusal.reason))},
            {"run", std::string(ToString(refusal.run))}})
      .Increment();
  LogEvent(LogLevel::kDebug, "job_refused",
           {{"id", refusal.id ? ToString(*refusal.id) : ""},
            {"owner", std::string(owner)},
            {"reason", std::string(ToString(refusal.reason))},
            {"run", std::string(ToString(refusal.run))},
            {"message", refusal.message}});
}

void Metrics::OnCompleted(std::string_view owner,
                          std::string_view kind,
                          Duration response_time) {
  FindSeries(owner, kind)
      .response_time->Observe(
          std::chrono::duration<double>(response_time).count());
}

void Metrics::OnStarted(std::string_view owner,
                        std::string_view kind,
                        std::string_view /*upstream*/,
                        std::uint32_t attempt) {
  Series& series = FindSeries(owner, kind);
  series.started->Increment();
  if (attempt > 0) {
    series.retried->Increment();
    CountWaste(WasteCause::kRetry);
  }
}

void Metrics::OnAttemptEnded(std::string_view owner,
                             std::string_view kind,
                             std::string_view /*upstream*/,
                             const AttemptOutcome& outcome) {
  prometheus::Counter*& ended = outcomes_[outcome.index()];
  if (ended == nullptr) {
    ended = &attempts_.Add(
        {{"outcome", std::string(kOutcomeNames[outcome.index()])}});
  }
  ended->Increment();
  if (std::holds_alternative<attempt::Succeeded>(outcome)) {
    return;
  }
  Series& series = FindSeries(owner, kind);
  const bool is_lost = std::holds_alternative<attempt::Lost>(outcome);
  const bool is_refused = std::holds_alternative<attempt::Refused>(outcome);
  if (is_lost) {
    series.unknown->Increment();
  }
  if (is_refused) {
    CountWaste(WasteCause::kRefusedStart);
  }
  if (is_lost || is_refused) {
    series.wasted->Increment();
  }
}

void Metrics::OnStaleResponse(const AttemptId& attempt) {
  CountWaste(WasteCause::kStaleAnswer);
  LogEvent(LogLevel::kInfo, "stale_answer", {{"id", ToString(attempt)}});
}

void Metrics::OnForwarded() {
  forwarded_.Increment();
  CountWaste(WasteCause::kForward);
}

void Metrics::OnKeyClaim() {
  key_claims_.Increment();
}

void Metrics::OnConfiguration(const ConfigurationHeader& header) {
  configuration_version_.Set(static_cast<double>(header.version));
  LogEvent(LogLevel::kInfo, "configuration_adopted",
           {{"version", std::to_string(header.version)},
            {"author", header.author},
            {"operation", header.operation_id}});
}

void Metrics::OnInstanceList(std::uint64_t revision) {
  instances_revision_.Set(static_cast<double>(revision));
}

void Metrics::OnViolation(std::string_view invariant, std::string_view detail) {
  violations_.Add({{"invariant", std::string(invariant)}}).Increment();
  LogEvent(
      LogLevel::kError, "invariant_violated",
      {{"invariant", std::string(invariant)}, {"detail", std::string(detail)}});
}

void Metrics::CountWaste(WasteCause cause) {
  prometheus::Counter*& counter = waste_by_cause_[cause];
  if (counter == nullptr) {
    counter = &waste_.Add({{"cause", std::string(WasteCauseName(cause))}});
  }
  counter->Increment();
}

void Metrics::CountPoll(std::string_view target, bool is_ok) {
  polls_
      .Add(
          {{"target", std::string(target)}, {"result", is_ok ? "ok" : "error"}})
      .Increment();
}

std::string Metrics::Text(const Dispatcher& dispatcher,
                          std::int64_t now_unix_ms) {
  active_jobs_.Set(static_cast<double>(dispatcher.active_jobs()));
  queued_tasks_.Set(static_cast<double>(dispatcher.queued_tasks()));
  running_tasks_.Set(static_cast<double>(dispatcher.running_tasks()));
  ejected_.Set(static_cast<double>(dispatcher.ejected_upstreams().size()));
  if (const Configuration* const in_force = dispatcher.configuration()) {
    configuration_age_.Set(
        static_cast<double>(now_unix_ms - in_force->header().created_unix_ms) /
        kMillisecondsPerSecond);
  }
  std::map<std::pair<std::string, std::string>, int> counts = {
      {{"entry", "live"}, 0},
      {{"entry", "leaving"}, 0},
      {{"upstream", "live"}, 0},
      {{"upstream", "leaving"}, 0}};
  if (const InstanceList* const list = dispatcher.instances()) {
    for (const Instance& instance : list->instances) {
      ++counts[{instance.role == InstanceRole::kEntry ? "entry" : "upstream",
                instance.state == InstanceState::kLive ? "live" : "leaving"}];
    }
  }
  for (const auto& [labels, count] : counts) {
    members_.Add({{"role", labels.first}, {"state", labels.second}}).Set(count);
  }
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

Metrics::Series& Metrics::FindSeries(std::string_view owner,
                                     std::string_view kind) {
  if (cached_key_ != nullptr && cached_key_->owner == owner &&
      cached_key_->kind == kind) {
    return *cached_series_;
  }
  const auto [it, is_new] = series_.try_emplace(
      {.owner = std::string(owner), .kind = std::string(kind)});
  Series& series = it->second;
  if (is_new) {
    const prometheus::Labels labels = {{"owner", it->first.owner},
                                       {"kind", it->first.kind}};
    series = {.admitted_jobs = &admitted_jobs_.Add(labels),
              .admitted_tasks = &admitted_tasks_.Add(labels),
              .started = &started_.Add(labels),
              .retried = &retried_.Add(labels),
              .unknown = &unknown_.Add(labels),
              .wasted = &wasted_by_kind_.Add(labels),
              .response_time = &response_times_.Add(labels, ResponseBuckets())};
  }
  cached_key_ = &it->first;
  cached_series_ = &series;
  return series;
}

Metrics::Counters& Metrics::AddCounters(const std::string& name,
                                        const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry_);
}

prometheus::Gauge& Metrics::AddGauge(const std::string& name,
                                     const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add(
      {});
}

}  // namespace jaypick::daemon
