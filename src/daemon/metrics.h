// Metrics of one entry, updated by the dispatcher and the plug-ins.
#ifndef JAYPICK_DAEMON_METRICS_H_
#define JAYPICK_DAEMON_METRICS_H_

#include <array>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "jaypick/dispatcher.h"

namespace jaypick::daemon {

// Why a message was sent beyond the minimum that its job needed.
enum class WasteCause {
  kRetry,
  kRefusedStart,
  kForward,
  kProbe,
  kAbandoned,
  kPeerExchange,
  kStaleAnswer,
};

// Counts the events that the dispatcher reports to its observer.
class Metrics : public DispatchObserver {
 public:
  Metrics();

  void OnAdmitted(std::string_view owner,
                  std::string_view kind,
                  std::size_t tasks) override;
  void OnRefused(std::string_view owner,
                 std::string_view kind,
                 const Refusal& refusal) override;
  void OnCompleted(std::string_view owner,
                   std::string_view kind,
                   Duration response_time) override;
  void OnStarted(std::string_view owner,
                 std::string_view kind,
                 std::string_view upstream,
                 std::uint32_t attempt) override;
  void OnAttemptEnded(std::string_view owner,
                      std::string_view kind,
                      std::string_view upstream,
                      const AttemptOutcome& outcome) override;
  void OnStaleResponse(const AttemptId& attempt) override;
  void OnForwarded() override;
  void OnKeyClaim() override;
  void OnConfiguration(const ConfigurationHeader& header) override;
  void OnInstanceList(std::uint64_t revision) override;
  void OnViolation(std::string_view invariant,
                   std::string_view detail) override;

  // Counts a message beyond the minimum that its job needed.
  void CountWaste(WasteCause cause);

  // Counts a poll of the platform or a peer exchange, by target and result.
  void CountPoll(std::string_view target, bool is_ok);

  // Returns all metrics in Prometheus text format. Gauges are updated from the
  // current state of `dispatcher`.
  std::string Text(const Dispatcher& dispatcher, std::int64_t now_unix_ms);

 private:
  using Counters = prometheus::Family<prometheus::Counter>;

  // The time series of one owner and kind.
  struct Series {
    prometheus::Counter* admitted_jobs = nullptr;
    prometheus::Counter* admitted_tasks = nullptr;
    prometheus::Counter* started = nullptr;
    prometheus::Counter* retried = nullptr;
    prometheus::Counter* unknown = nullptr;
    prometheus::Counter* wasted = nullptr;
    prometheus::Histogram* response_time = nullptr;
  };

  struct SeriesKey {
    std::string owner;
    std::string kind;
    friend auto operator<=>(const SeriesKey&, const SeriesKey&) = default;
  };

  Series& FindSeries(std::string_view owner, std::string_view kind);
  Counters& AddCounters(const std::string& name, const std::string& help);
  prometheus::Gauge& AddGauge(const std::string& name, const std::string& help);

  prometheus::Registry registry_;
  Counters& admitted_jobs_;
  Counters& admitted_tasks_;
  Counters& refused_;
  Counters& started_;
  Counters& retried_;
  Counters& unknown_;
  Counters& wasted_by_kind_;
  Counters& attempts_;
  Counters& waste_;
  Counters& polls_;
  Counters& violations_;
  prometheus::Counter& key_claims_;
  prometheus::Counter& forwarded_;
  prometheus::Family<prometheus::Histogram>& response_times_;
  prometheus::Gauge& configuration_version_;
  prometheus::Gauge& configuration_age_;
  prometheus::Gauge& instances_revision_;
  prometheus::Family<prometheus::Gauge>& members_;
  prometheus::Gauge& ejected_;
  prometheus::Gauge& active_jobs_;
  prometheus::Gauge& queued_tasks_;
  prometheus::Gauge& running_tasks_;
  std::map<SeriesKey, Series> series_;
  // The series used last: most lookups repeat it, because the tasks of a job
  // are reported one after another.
  const SeriesKey* cached_key_ = nullptr;
  Series* cached_series_ = nullptr;
  std::map<WasteCause, prometheus::Counter*> waste_by_cause_;
  std::array<prometheus::Counter*, std::variant_size_v<AttemptOutcome>>
      outcomes_ = {};
};

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_METRICS_H_
