// Prometheus metrics of a node.
#ifndef JAYPICK_NODE_METRICS_H_
#define JAYPICK_NODE_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "http/server.h"
#include "jaypick/time.h"
#include "node/peer_messages.h"
#include "node/store_view.h"
#include "schedule/memory_budget.h"
#include "schedule/messages.h"

namespace jaypick::node {

class NodeMetrics {
 public:
  NodeMetrics();

  // A job was answered; `response_time` counts from its arrival.
  void OnJob(const std::string& kind,
             const schedule::JobOutcome& outcome,
             Duration response_time);

  // Updates the gauges; called when the metrics are scraped.
  void Update(const std::vector<LeadershipStatus>& statuses,
              const StoreView& view,
              std::uint64_t dropped_log_lines);

  // Updates the gauges that show evacuations of failure domains.
  void UpdateEvacuations(
      const std::vector<std::string>& failure_domains,
      const std::set<std::string>& evacuated,
      const std::map<std::string, std::size_t>& running_tasks);

  // Updates the gauges of the memory that jobs take; `kind` says for what.
  void UpdateMemory(const std::string& kind,
                    const schedule::MemoryBudget& budget);

  // Updates the gauges of connections that a server has closed at a limit.
  void UpdateServer(const std::string& server,
                    const http::ServerCounters& counters);

  std::string Serialize() const;

 private:
  // Further kinds share one label value, to bound the number of time series.
  static constexpr std::size_t kMaxKindLabels = 64;

  std::string LabelOf(const std::string& kind);

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& jobs_;
  prometheus::Family<prometheus::Histogram>& seconds_;
  prometheus::Family<prometheus::Gauge>& backlog_;
  prometheus::Family<prometheus::Gauge>& cores_;
  prometheus::Family<prometheus::Gauge>& evacuated_;
  prometheus::Family<prometheus::Gauge>& running_;
  prometheus::Family<prometheus::Gauge>& closed_;
  prometheus::Family<prometheus::Gauge>& memory_used_;
  prometheus::Family<prometheus::Gauge>& memory_limit_;
  prometheus::Gauge& configuration_version_;
  prometheus::Gauge& store_connected_;
  prometheus::Gauge& upstreams_;
  prometheus::Gauge& dropped_log_lines_;
  std::set<std::string> kinds_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_METRICS_H_
