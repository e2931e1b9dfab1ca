#include "node/metrics.h"

#include <prometheus/text_serializer.h>

namespace jaypick::node {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

// Buckets cover sub-second jobs and the longest usual caller timeouts.
const prometheus::Histogram::BucketBoundaries kSecondsBuckets = {
    0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};

}  // namespace

NodeMetrics::NodeMetrics()
    : jobs_(BuildCounter()
                .Name("jaypick_node_jobs_total")
                .Help("Jobs answered, by kind and outcome.")
                .Register(registry_)),
      seconds_(BuildHistogram()
                   .Name("jaypick_node_job_seconds")
                   .Help("Time from a job's arrival to its answer.")
                   .Register(registry_)),
      backlog_(BuildGauge()
                   .Name("jaypick_node_backlog_core_seconds")
                   .Help("Work that waits or is left to run in a domain that "
                         "is commanded here.")
                   .Register(registry_)),
      cores_(BuildGauge()
                 .Name("jaypick_node_usable_cores")
                 .Help("Cores of the usable upstreams of a domain that is "
                       "commanded here.")
                 .Register(registry_)),
      evacuated_(BuildGauge()
                     .Name("jaypick_node_evacuated")
                     .Help("1 while the operators evacuate the domain.")
                     .Register(registry_)),
      running_(BuildGauge()
                   .Name("jaypick_node_running_tasks")
                   .Help("Tasks at work in a domain that is commanded here.")
                   .Register(registry_)),
      closed_(BuildGauge()
                  .Name("jaypick_node_limit_reached")
                  .Help("How often a server reached a limit: connections "
                        "closed or refused, and responses replaced.")
                  .Register(registry_)),
      memory_used_(BuildGauge()
                       .Name("jaypick_node_memory_reserved_bytes")
                       .Help("Memory reserved for jobs, and for runs of their "
                             "tasks.")
                       .Register(registry_)),
      memory_limit_(BuildGauge()
                        .Name("jaypick_node_memory_limit_bytes")
                        .Help("Limit of the memory reserved for jobs, and for "
                              "runs of their tasks.")
                        .Register(registry_)),
      configuration_version_(BuildGauge()
                                 .Name("jaypick_node_configuration_version")
                                 .Help("Version in force.")
                                 .Register(registry_)
                                 .Add({})),
      store_connected_(BuildGauge()
                           .Name("jaypick_node_store_connected")
                           .Help("1 while the store answers.")
                           .Register(registry_)
                           .Add({})),
      upstreams_(BuildGauge()
                     .Name("jaypick_node_listed_upstreams")
                     .Help("Upstreams in the service discovery.")
                     .Register(registry_)
                     .Add({})),
      dropped_log_lines_(BuildGauge()
                             .Name("jaypick_node_dropped_log_lines")
                             .Help("Log lines that their reader did not take.")
                             .Register(registry_)
                             .Add({})) {}

std::string NodeMetrics::LabelOf(const std::string& kind) {
  if (!kinds_.contains(kind) && kinds_.size() >= kMaxKindLabels) {
    return "other";
  }
  kinds_.insert(kind);
  return kind;
}

void NodeMetrics::OnJob(const std::string& kind,
                        const schedule::JobOutcome& outcome,
                        Duration response_time) {
  const std::string label = LabelOf(kind);
  jobs_.Add({{"kind", label}, {"outcome", schedule::Describe(outcome)}})
      .Increment();
  seconds_.Add({{"kind", label}}, kSecondsBuckets)
      .Observe(std::chrono::duration<double>(response_time).count());
}

void NodeMetrics::Update(const std::vector<LeadershipStatus>& statuses,
                         const StoreView& view,
                         std::uint64_t dropped_log_lines) {
  for (const LeadershipStatus& status : statuses) {
    backlog_.Add({{"domain", status.failure_domain}})
        .Set(status.load.backlog_core_seconds);
    cores_.Add({{"domain", status.failure_domain}}).Set(status.load.cores);
  }
  const RoutingTable* const routing = view.routing();
  configuration_version_.Set(
      routing == nullptr ? 0 : static_cast<double>(routing->version));
  store_connected_.Set(view.is_connected() ? 1 : 0);
  upstreams_.Set(static_cast<double>(view.upstreams().size()));
  dropped_log_lines_.Set(static_cast<double>(dropped_log_lines));
}

void NodeMetrics::UpdateEvacuations(
    const std::vector<std::string>& failure_domains,
    const std::set<std::string>& evacuated,
    const std::map<std::string, std::size_t>& running_tasks) {
  for (const std::string& domain : failure_domains) {
    evacuated_.Add({{"domain", domain}})
        .Set(evacuated.contains(domain) ? 1 : 0);
    const auto running = running_tasks.find(domain);
    running_.Add({{"domain", domain}})
        .Set(running == running_tasks.end()
                 ? 0
                 : static_cast<double>(running->second));
  }
}

void NodeMetrics::UpdateMemory(const std::string& kind,
                               const schedule::MemoryBudget& budget) {
  memory_used_.Add({{"for", kind}}).Set(static_cast<double>(budget.used()));
  memory_limit_.Add({{"for", kind}}).Set(static_cast<double>(budget.limit()));
}

void NodeMetrics::UpdateServer(const std::string& server,
                               const http::ServerCounters& counters) {
  const auto set = [&](const char* limit, std::uint64_t value) {
    closed_.Add({{"server", server}, {"limit", limit}})
        .Set(static_cast<double>(value));
  };
  set("connections", counters.closed_for_newcomers);
  set("memory", counters.closed_for_memory);
  set("all_in_use", counters.refused);
  set("response_memory", counters.responses_replaced);
}

std::string NodeMetrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace jaypick::node
