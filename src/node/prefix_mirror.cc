#include "node/prefix_mirror.h"

#include <algorithm>
#include <utility>

#include "daemon/log.h"

namespace jaypick::node {
namespace {

using daemon::LogEvent;
using daemon::LogLevel;

// The first key after all that begin with `prefix`.
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
      retry_(options.first_retry),
      timer_(runtime.base(), [this] { Continue(); }),
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
  must_read_ = true;
  if (!is_calling_) {
    timer_.Cancel();
    Read();
  }
}

void PrefixMirror::Continue() {
  if (must_read_ || IsIdle()) {
    Read();
  } else {
    Watch();
  }
}

void PrefixMirror::Read() {
  is_calling_ = true;
  timer_.Cancel();
  store_.Range({.key = prefix_, .range_end = EndOfPrefix(prefix_)},
               [this, alive = is_alive_,
                call = ++call_](StoreResult<RangeResult> result) {
                 if (*alive && call == call_) {
                   OnRead(std::move(result));
                 }
               });
}

void PrefixMirror::OnRead(StoreResult<RangeResult> result) {
  is_calling_ = false;
  if (const auto* const error = std::get_if<StoreError>(&result)) {
    RetryLater(*error);
    return;
  }
  OnHeard();
  auto& range = std::get<RangeResult>(result);
  must_read_ = false;
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
  is_calling_ = true;
  store_.Watch({.prefix = prefix_,
                .after_revision = revision_,
                .wait = options_.watch_wait},
               [this, alive = is_alive_,
                call = ++call_](StoreResult<WatchResult> result) {
                 if (*alive && call == call_) {
                   OnWatched(std::move(result));
                 }
               });
}

void PrefixMirror::OnWatched(StoreResult<WatchResult> result) {
  is_calling_ = false;
  if (const auto* const error = std::get_if<StoreError>(&result)) {
    RetryLater(*error);
    return;
  }
  auto& changes = std::get<WatchResult>(result);
  if (changes.is_compacted) {
    LogEvent(LogLevel::kInfo, "store_history_gone", {{"prefix", prefix_}});
    must_read_ = true;
    Read();
    return;
  }
  OnHeard();
  bool has_changed = false;
  for (WatchEvent& event : changes.events) {
    if (auto* const item = std::get_if<KeyValue>(&event)) {
      KeyValue& kept = items_[item->key];
      if (item->mod_revision > kept.mod_revision) {
        kept = std::move(*item);
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
  if (must_read_ || options_.batch_interval > Duration(0)) {
    timer_.After(must_read_ ? Duration(0) : options_.batch_interval);
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

void PrefixMirror::OnHeard() {
  last_response_ = runtime_.Now();
  retry_ = options_.first_retry;
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
  timer_.After(retry_);
  retry_ = std::min(retry_ * 2, options_.longest_retry);
}

}  // namespace jaypick::node
