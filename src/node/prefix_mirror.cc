#include "node/prefix_mirror.h"

#include <algorithm>
#include <utility>

#include "daemon/log.h"

namespace jaypick::node {
namespace {

using daemon::LogEvent;
using daemon::LogLevel;

// The store limits the events of one response to about 500. One with this many
// may be incomplete, and the mirror is then behind the store.
constexpr std::size_t kManyEvents = 450;
// Calls in a row without a response after which the store counts as
// unresponsive.
constexpr std::uint32_t kCallsUntilUnresponsive = 2;
// Delay of the event loop beyond which an unanswered call says nothing about
// the store.
constexpr Duration kMaxLag = std::chrono::milliseconds(100);

// Returns the smallest key that is greater than all keys with `prefix`.
std::string EndOfPrefix(std::string prefix) {
  ++prefix.back();
  return prefix;
}

}  // namespace

PrefixMirror::PrefixMirror(Runtime& runtime,
                           WatchableStore& store,
                           std::string prefix,
                           Listener on_change,
                           MirrorOptions options)
    : runtime_(runtime),
      store_(store),
      prefix_(std::move(prefix)),
      on_change_(std::move(on_change)),
      options_(options),
      is_active_(options.is_initially_active),
      retry_delay_(options.initial_retry_delay),
      timer_(runtime.base(), [this] { ReadOrWatch(); }),
      is_alive_(std::make_shared<bool>(true)) {}

PrefixMirror::~PrefixMirror() {
  *is_alive_ = false;
}

void PrefixMirror::Start() {
  if (is_active_) {
    Read();
  }
}

void PrefixMirror::SetActive(bool is_active) {
  if (std::exchange(is_active_, is_active) == is_active || !is_active) {
    return;
  }
  needs_full_read_ = true;
  is_responsive_ = false;
  if (!is_call_in_flight_) {
    Read();
  }
}

void PrefixMirror::ReadOrWatch() {
  if (!is_active_) {
    return;
  }
  if (needs_full_read_) {
    Read();
  } else {
    Watch();
  }
}

void PrefixMirror::Refresh() {
  if (is_reading_) {
    needs_full_read_ = true;
    return;
  }
  Read();
}

void PrefixMirror::Read() {
  is_call_in_flight_ = true;
  is_reading_ = true;
  needs_full_read_ = false;
  timer_.Cancel();
  call_sent_ = runtime_.Now();
  store_.Range({.key = prefix_, .range_end = EndOfPrefix(prefix_)},
               [this, alive = is_alive_,
                call = ++current_call_](StoreResult<RangeResult> result) {
                 if (*alive && call == current_call_) {
                   OnRead(std::move(result));
                 }
               });
}

void PrefixMirror::OnRead(StoreResult<RangeResult> result) {
  is_call_in_flight_ = false;
  is_reading_ = false;
  if (const auto* const error = std::get_if<StoreError>(&result)) {
    needs_full_read_ = true;
    RetryLater(*error);
    return;
  }
  OnStoreResponse();
  current_as_of_ = std::max(current_as_of_, call_sent_);
  auto& range = std::get<RangeResult>(result);
  if (range.revision >= revision_) {
    MirroredItems items;
    for (KeyValue& item : range.values) {
      std::string key = item.key;
      items.emplace(std::move(key), std::move(item));
    }
    if (Replace(range.revision, std::move(items))) {
      on_change_();
    }
  }
  ReadOrWatch();
}

bool PrefixMirror::Replace(std::int64_t revision, MirroredItems items) {
  std::erase_if(items, [this](const auto& entry) {
    return !entry.first.starts_with(prefix_);
  });
  const bool has_changed = items != items_;
  if (revision_ == 0) {
    removals_since_ = revision;
  }
  for (auto& [key, item] : items_) {
    if (items.contains(key)) {
      continue;
    }
    if (item.mod_revision > revision) {
      items.emplace(key, std::move(item));
    } else {
      removals_[key] = revision;
    }
  }
  for (const auto& [key, item] : items) {
    removals_.erase(key);
  }
  items_ = std::move(items);
  revision_ = revision;
  return has_changed;
}

bool PrefixMirror::Put(KeyValue item) {
  if (!item.key.starts_with(prefix_)) {
    return false;
  }
  const auto known = items_.find(item.key);
  const auto removal = removals_.find(item.key);
  const bool is_outdated =
      (known != items_.end() &&
       known->second.mod_revision >= item.mod_revision) ||
      (removal != removals_.end() && removal->second >= item.mod_revision);
  if (is_outdated) {
    return false;
  }
  if (removal != removals_.end()) {
    removals_.erase(removal);
  }
  std::string key = item.key;
  items_.insert_or_assign(std::move(key), std::move(item));
  return true;
}

bool PrefixMirror::Remove(const std::string& key, std::int64_t revision) {
  const auto known = items_.find(key);
  if (known != items_.end() && known->second.mod_revision >= revision) {
    return false;
  }
  if (removals_.size() >= options_.max_removals) {
    removals_.clear();
    removals_since_ = std::max(revision_, revision);
  }
  std::int64_t& removal = removals_[key];
  removal = std::max(removal, revision);
  if (known == items_.end()) {
    return false;
  }
  items_.erase(known);
  return true;
}

void PrefixMirror::Watch() {
  is_call_in_flight_ = true;
  call_sent_ = runtime_.Now();
  store_.Watch({.prefix = prefix_,
                .after_revision = revision_,
                .wait = options_.watch_wait},
               [this, alive = is_alive_,
                call = ++current_call_](StoreResult<WatchResult> result) {
                 if (*alive && call == current_call_) {
                   OnWatched(std::move(result));
                 }
               });
}

void PrefixMirror::OnWatched(StoreResult<WatchResult> result) {
  is_call_in_flight_ = false;
  if (const auto* const error = std::get_if<StoreError>(&result)) {
    RetryLater(*error);
    return;
  }
  auto& changes = std::get<WatchResult>(result);
  if (changes.is_compacted) {
    LogEvent(LogLevel::kInfo, "store_history_gone", {{"prefix", prefix_}});
    Read();
    return;
  }
  OnStoreResponse();
  // A response without events was sent when the wait was over. One with events
  // may have been sent at any time since the request.
  const bool may_be_incomplete = changes.events.size() >= kManyEvents;
  const bool is_wait_over = changes.events.empty() &&
                            runtime_.Now() - call_sent_ >= options_.watch_wait;
  if (!may_be_incomplete) {
    current_as_of_ =
        std::max(current_as_of_,
                 is_wait_over ? call_sent_ + options_.watch_wait : call_sent_);
  }
  bool has_changed = false;
  for (WatchEvent& event : changes.events) {
    if (auto* const item = std::get_if<KeyValue>(&event)) {
      has_changed = Put(std::move(*item)) || has_changed;
    } else {
      const auto& removed = std::get<KeyRemoved>(event);
      has_changed = Remove(removed.key, removed.mod_revision) || has_changed;
    }
  }
  revision_ = std::max(revision_, changes.revision);
  if (has_changed) {
    on_change_();
  }
  if (!needs_full_read_ && !may_be_incomplete &&
      options_.batch_interval > Duration(0)) {
    timer_.After(options_.batch_interval);
    return;
  }
  ReadOrWatch();
}

MirrorChanges PrefixMirror::ChangesSince(std::int64_t revision) const {
  const bool is_complete = revision < removals_since_;
  MirrorChanges changes{.prefix = prefix_,
                        .since = is_complete ? 0 : revision,
                        .revision = revision_,
                        .age = runtime_.Now() - current_as_of_};
  if (is_complete) {
    changes.items = items_;
    return changes;
  }
  for (const auto& [key, item] : items_) {
    if (item.mod_revision > revision) {
      changes.items.emplace(key, item);
    }
  }
  for (const auto& [key, removal] : removals_) {
    if (removal > revision) {
      changes.removed.emplace(key, removal);
    }
  }
  return changes;
}

void PrefixMirror::Merge(MirrorChanges changes, TimePoint sent) {
  if (changes.revision < revision_ || changes.since > revision_) {
    return;
  }
  if (changes.age) {
    current_as_of_ =
        std::max(current_as_of_, sent - std::max(*changes.age, Duration(0)));
  }
  if (changes.revision == revision_) {
    return;
  }
  bool has_changed = false;
  if (changes.since == 0) {
    has_changed = Replace(changes.revision, std::move(changes.items));
  } else {
    for (auto& [key, item] : changes.items) {
      has_changed = Put(std::move(item)) || has_changed;
    }
    for (const auto& [key, removal] : changes.removed) {
      has_changed = Remove(key, removal) || has_changed;
    }
    revision_ = changes.revision;
  }
  if (has_changed) {
    on_change_();
  }
}

void PrefixMirror::MergeItems(const MirroredItems& items) {
  bool has_changed = false;
  for (const auto& [key, item] : items) {
    // This mirror already reflects older changes.
    if (item.mod_revision > revision_) {
      has_changed = Put(item) || has_changed;
    }
  }
  if (has_changed) {
    on_change_();
  }
}

void PrefixMirror::OnStoreResponse() {
  retry_delay_ = options_.initial_retry_delay;
  is_responsive_ = true;
  unanswered_calls_ = 0;
  if (!is_connected_) {
    is_connected_ = true;
    LogEvent(LogLevel::kInfo, "store_regained", {{"prefix", prefix_}});
  }
}

void PrefixMirror::RetryLater(const StoreError& error) {
  if (std::exchange(is_connected_, false)) {
    LogEvent(LogLevel::kWarning, "store_lost",
             {{"prefix", prefix_}, {"message", error.message}});
  }
  if (runtime_.lag() < kMaxLag &&
      ++unanswered_calls_ >= kCallsUntilUnresponsive) {
    is_responsive_ = false;
  }
  timer_.After(retry_delay_);
  retry_delay_ = std::min(retry_delay_ * 2, options_.max_retry_delay);
}

}  // namespace jaypick::node
