#include "node/prefix_mirror.h"

#include <algorithm>
#include <utility>

#include "daemon/log.h"

namespace jaypick::node {
namespace {

using daemon::LogEvent;
using daemon::LogLevel;

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
      retry_delay_(options.initial_retry_delay),
      timer_(runtime.base(), [this] { ReadOrWatch(); }),
      is_alive_(std::make_shared<bool>(true)) {}

PrefixMirror::~PrefixMirror() {
  *is_alive_ = false;
}

void PrefixMirror::Start() {
  Read();
}

bool PrefixMirror::IsIdle() const {
  return options_.idle_interval > Duration(0) && !is_active_;
}

void PrefixMirror::SetActive(bool is_active) {
  if (std::exchange(is_active_, is_active) == is_active || !is_active) {
    return;
  }
  needs_full_read_ = true;
  if (!is_call_in_flight_) {
    timer_.Cancel();
    Read();
  }
}

void PrefixMirror::ReadOrWatch() {
  if (needs_full_read_ || IsIdle()) {
    Read();
  } else {
    Watch();
  }
}

void PrefixMirror::Read() {
  is_call_in_flight_ = true;
  timer_.Cancel();
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
  if (const auto* const error = std::get_if<StoreError>(&result)) {
    RetryLater(*error);
    return;
  }
  OnStoreResponse();
  auto& range = std::get<RangeResult>(result);
  needs_full_read_ = false;
  if (range.revision >= revision_) {
    MirroredItems items;
    for (KeyValue& item : range.values) {
      std::string key = item.key;
      items.emplace(std::move(key), std::move(item));
    }
    revision_ = range.revision;
    if (items != items_) {
      items_ = std::move(items);
      on_change_();
    }
  }
  if (IsIdle()) {
    timer_.After(options_.idle_interval);
    return;
  }
  Watch();
}

void PrefixMirror::Watch() {
  is_call_in_flight_ = true;
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
    needs_full_read_ = true;
    Read();
    return;
  }
  OnStoreResponse();
  bool has_changed = false;
  for (WatchEvent& event : changes.events) {
    if (auto* const item = std::get_if<KeyValue>(&event)) {
      KeyValue& stored = items_[item->key];
      if (item->mod_revision > stored.mod_revision) {
        stored = std::move(*item);
        has_changed = true;
      }
      continue;
    }
    const auto& removed = std::get<KeyRemoved>(event);
    const auto it = items_.find(removed.key);
    if (it != items_.end() && it->second.mod_revision < removed.mod_revision) {
      items_.erase(it);
      has_changed = true;
    }
  }
  revision_ = std::max(revision_, changes.revision);
  if (has_changed) {
    on_change_();
  }
  if (needs_full_read_ || options_.batch_interval > Duration(0)) {
    timer_.After(needs_full_read_ ? Duration(0) : options_.batch_interval);
    return;
  }
  Watch();
}

void PrefixMirror::MergeIfNewer(std::int64_t revision, MirroredItems items) {
  if (revision <= revision_) {
    return;
  }
  revision_ = revision;
  if (items != items_) {
    items_ = std::move(items);
    on_change_();
  }
}

void PrefixMirror::OnStoreResponse() {
  last_response_ = runtime_.Now();
  retry_delay_ = options_.initial_retry_delay;
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
  timer_.After(retry_delay_);
  retry_delay_ = std::min(retry_delay_ * 2, options_.max_retry_delay);
}

}  // namespace jaypick::node
