#include "node/store_view.h"

#include <utility>

#include "daemon/log.h"

namespace jaypick::node {
namespace {

using daemon::LogEvent;
using daemon::LogLevel;

constexpr std::string_view kLeaderPrefix = "jaypick/command/";
// This record has no lease. A node that starts after the leader record has
// expired reads it to learn which node to ping before it claims the domain.
constexpr std::string_view kLastLeaderSuffix = "/last";
// Interval at which a leader reads the changes of the list. It batches the
// updates of many upstreams, and bounds the age of the list well below the
// notice that an upstream gives before it shuts down.
constexpr Duration kUpstreamInterval = std::chrono::milliseconds(400);
// Entries that expired during an outage of the store reappear within two
// seconds after the outage. An entry that is missing for longer belongs to an
// upstream that was removed.
constexpr Duration kMissingUpstreamTimeout = std::chrono::milliseconds(2500);

}  // namespace

StoreView::StoreView(Runtime& runtime,
                     WatchableStore& store,
                     const MessageCodec& codec,
                     Listener listener)
    : runtime_(runtime),
      codec_(codec),
      listener_(std::move(listener)),
      configuration_mirror_(runtime,
                            store,
                            codec.operator_prefix(),
                            [this] { OnOperatorKeys(); }),
      upstream_mirror_(runtime,
                       store,
                       codec.upstream_prefix(),
                       [this] { OnUpstreams(); },
                       {.watch_wait = Duration(0),
                        .batch_interval = kUpstreamInterval,
                        .is_initially_active = false}),
      leader_mirror_(runtime,
                     store,
                     std::string(kLeaderPrefix),
                     [this] { OnLeaderRecords(); }),
      missing_timer_(runtime.base(), [this] { DropMissingUpstreams(); }) {}

void StoreView::Start() {
  configuration_mirror_.Start();
  upstream_mirror_.Start();
  leader_mirror_.Start();
}

const RoutingTable* StoreView::routing() const {
  return routing_ ? &*routing_ : nullptr;
}

bool StoreView::is_connected() const {
  return configuration_mirror_.is_connected() &&
         leader_mirror_.is_connected() &&
         (!upstream_mirror_.is_active() || upstream_mirror_.is_connected());
}

std::string StoreView::LeaderKey(const std::string& failure_domain) {
  return std::string(kLeaderPrefix) + failure_domain;
}

std::string StoreView::LastLeaderKey(const std::string& failure_domain) {
  return LeaderKey(failure_domain) + std::string(kLastLeaderSuffix);
}

void StoreView::OnOperatorKeys() {
  std::set<std::string> evacuated;
  for (const auto& [key, item] : configuration_mirror_.items()) {
    if (key == codec_.configuration_key()) {
      OnConfiguration(item);
    } else if (auto domain = codec_.EvacuatedDomain(key)) {
      evacuated.insert(*std::move(domain));
    }
  }
  if (evacuated != evacuated_domains_) {
    evacuated_domains_ = std::move(evacuated);
    listener_.on_evacuations_changed();
  }
}

void StoreView::OnConfiguration(const KeyValue& item) {
  if (std::exchange(routing_revision_, item.mod_revision) ==
      item.mod_revision) {
    return;
  }
  std::string fault;
  auto table = codec_.DecodeRouting(item.value, fault);
  if (!table) {
    LogEvent(
        LogLevel::kError, "configuration_unreadable",
        {{"fault", fault}, {"revision", std::to_string(item.mod_revision)}});
    return;
  }
  if (routing_ && table->version <= routing_->version) {
    return;
  }
  LogEvent(LogLevel::kInfo, "configuration_in_force",
           {{"version", std::to_string(table->version)},
            {"routes", std::to_string(table->routes.size())},
            {"revision", std::to_string(item.mod_revision)}});
  routing_ = std::move(table);
}

void StoreView::OnUpstreams() {
  const auto& items = upstream_mirror_.items();
  for (const auto& [key, item] : items) {
    std::int64_t& decoded = decoded_revisions_[key];
    missing_since_.erase(key);
    if (decoded == item.mod_revision) {
      continue;
    }
    decoded = item.mod_revision;
    std::string fault;
    auto upstream = codec_.DecodeUpstream(item, fault);
    if (!upstream) {
      LogEvent(LogLevel::kWarning, "upstream_entry_ignored",
               {{"key", key}, {"fault", fault}});
      upstreams_.erase(key);
      continue;
    }
    const auto known = upstreams_.find(key);
    const bool was_draining =
        known != upstreams_.end() && known->second.is_draining;
    if (upstream->is_draining && !was_draining) {
      LogEvent(LogLevel::kInfo, "upstream_draining",
               {{"upstream", upstream->id},
                {"revision", std::to_string(item.mod_revision)}});
    }
    upstreams_.insert_or_assign(key, *std::move(upstream));
  }
  for (const auto& [key, revision] : decoded_revisions_) {
    if (!items.contains(key)) {
      missing_since_.emplace(key, runtime_.Now());
    }
  }
  if (!missing_since_.empty()) {
    missing_timer_.After(kMissingUpstreamTimeout);
  }
  listener_.on_upstreams_changed();
}

void StoreView::DropMissingUpstreams() {
  const TimePoint now = runtime_.Now();
  bool has_changed = false;
  for (auto it = missing_since_.begin(); it != missing_since_.end();) {
    if (now - it->second < kMissingUpstreamTimeout) {
      ++it;
      continue;
    }
    LogEvent(LogLevel::kInfo, "upstream_gone", {{"key", it->first}});
    upstreams_.erase(it->first);
    decoded_revisions_.erase(it->first);
    it = missing_since_.erase(it);
    has_changed = true;
  }
  if (!missing_since_.empty()) {
    missing_timer_.After(kMissingUpstreamTimeout);
  }
  if (has_changed) {
    listener_.on_upstreams_changed();
  }
}

void StoreView::OnLeaderRecords() {
  leaders_.clear();
  last_leaders_.clear();
  for (const auto& [key, item] : leader_mirror_.items()) {
    auto record = DecodeLeaderRecord(item.value);
    if (!record) {
      LogEvent(LogLevel::kWarning, "command_record_unreadable", {{"key", key}});
      continue;
    }
    const std::string domain = key.substr(kLeaderPrefix.size());
    StoredLeaderRecord stored{.record = *std::move(record),
                              .revision = item.mod_revision};
    if (domain.ends_with(kLastLeaderSuffix)) {
      last_leaders_.emplace(
          domain.substr(0, domain.size() - kLastLeaderSuffix.size()),
          std::move(stored));
    } else {
      leaders_.emplace(domain, std::move(stored));
    }
  }
  listener_.on_leaders_changed();
}

const PrefixMirror& StoreView::MirrorOf(Part part) const {
  switch (part) {
    case Part::kConfiguration:
      return configuration_mirror_;
    case Part::kUpstreams:
      return upstream_mirror_;
    case Part::kLeaders:
      break;
  }
  return leader_mirror_;
}

void StoreView::Import(std::vector<MirrorChanges> changes, TimePoint sent) {
  for (MirrorChanges& each : changes) {
    for (PrefixMirror* const mirror :
         {&configuration_mirror_, &upstream_mirror_, &leader_mirror_}) {
      if (mirror->prefix() == each.prefix && !mirror->is_connected()) {
        mirror->Merge(std::move(each), sent);
        break;
      }
    }
  }
}

MirroredItems StoreView::UpstreamItems(
    const std::string& failure_domain) const {
  MirroredItems items;
  for (const auto& [key, upstream] : upstreams_) {
    const auto item = upstream_mirror_.items().find(key);
    if (upstream.failure_domain == failure_domain &&
        item != upstream_mirror_.items().end()) {
      items.insert(*item);
    }
  }
  return items;
}

}  // namespace jaypick::node
