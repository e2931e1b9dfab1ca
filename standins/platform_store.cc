#include <algorithm>
#include <utility>

#include <absl/strings/escaping.h>

#include "standins/platform_service.h"

namespace jaypick::standin {
namespace {

using nlohmann::json;

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr std::size_t kPageSize = 500;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kUnavailable = 503;

http::Response Reply(const json& body, int status = 200) {
  return {.status = status, .headers = {}, .body = body.dump()};
}

std::string QueryParameter(const http::Request& request, const char* name) {
  const auto it = request.query.find(name);
  return it == request.query.end() ? std::string() : it->second;
}

std::int64_t ToInteger(const std::string& text) {
  return text.empty() ? 0 : std::stoll(text);
}

std::int64_t LeaseIdOf(const std::string& path) {
  return ToInteger(path.substr(path.rfind('/') + 1));
}

}  // namespace

PlatformStore::PlatformStore(node::Runtime& runtime, std::uint16_t port)
    : runtime_(runtime),
      timer_(runtime.base(), [this] { Tick(); }),
      server_(runtime.base(),
              {.address = {.host = "127.0.0.1", .port = port}}) {
  using http::Method;
  Serve(Method::kGet, "/api/kv-key",
        [this](const http::Request& request) { return OnGet(request); });
  server_.Handle(
      Method::kGet, "/api/kv-range",
      [this](const http::Request& request, http::Responder responder) {
        ++calls_;
        if (is_down_) {
          responder.Send({.status = kUnavailable, .headers = {}, .body = "{}"});
        } else if (range_delay_ > Duration(0)) {
          delayed_responses_.emplace(
              runtime_.Now() + range_delay_,
              std::pair(std::move(responder), OnRange(request)));
        } else {
          SendResponse(std::move(responder), OnRange(request));
        }
      });
  Serve(Method::kPost, "/api/kv-txn",
        [this](const http::Request& request) { return OnTxn(request); });
  Serve(Method::kPost, "/api/kv-lease",
        [this](const http::Request& request) { return OnGrantLease(request); });
  Serve(Method::kPost, "/api/kv-keep/",
        [this](const http::Request& request) { return OnRenewLease(request); });
  Serve(
      Method::kDelete, "/api/kv-lease-end/",
      [this](const http::Request& request) { return OnRevokeLease(request); });
  server_.Handle(
      Method::kGet, "/api/kv-watch",
      [this](const http::Request& request, http::Responder responder) {
        OnWatch(request, std::move(responder));
      });
  timer_.After(kTickInterval);
}

PlatformStore::~PlatformStore() = default;

Address PlatformStore::address() const {
  return {.host = "127.0.0.1", .port = server_.port()};
}

void PlatformStore::Serve(
    http::Method method,
    const std::string& path,
    std::function<http::Response(const http::Request&)> handler) {
  server_.Handle(
      method, path,
      [this, handler = std::move(handler)](const http::Request& request,
                                           http::Responder responder) {
        ++calls_;
        if (is_down_) {
          responder.Send({.status = kUnavailable, .headers = {}, .body = "{}"});
          return;
        }
        SendResponse(std::move(responder), handler(request));
      });
}

void PlatformStore::SendResponse(http::Responder responder,
                                 http::Response response) {
  if (answers_to_lose_ > 0) {
    --answers_to_lose_;
    lost_responders_.push_back(std::move(responder));
    return;
  }
  responder.Send(std::move(response));
}

void PlatformStore::Put(const std::string& key, const std::string& value) {
  Write(key, value, 0);
  NotifyWatches();
}

void PlatformStore::Remove(const std::string& key) {
  Erase(key);
  NotifyWatches();
}

std::string PlatformStore::Value(const std::string& key) const {
  const auto it = items_.find(key);
  return it == items_.end() ? std::string() : it->second.value;
}

void PlatformStore::Compact() {
  oldest_revision_ = revision_ + 1;
  ++revision_;
  history_.clear();
  for (Watch& watch : watches_) {
    watch.responder->Send({.status = kGone, .headers = {}, .body = "{}"});
  }
  watches_.clear();
}

http::Response PlatformStore::OnGet(const http::Request& request) const {
  const auto it = items_.find(QueryParameter(request, "key"));
  if (it == items_.end()) {
    return Reply({{"current_rev", revision_}}, kNotFound);
  }
  return Reply({{"key", it->first},
                {"value", absl::Base64Escape(it->second.value)},
                {"revision", it->second.revision},
                {"created", it->second.created},
                {"lease", it->second.lease},
                {"current_rev", revision_}});
}

http::Response PlatformStore::OnRange(const http::Request& request) const {
  const std::string prefix = QueryParameter(request, "prefix");
  const std::string after = QueryParameter(request, "after");
  json items = json::array();
  bool has_more = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
      continue;
    }
    if (items.size() == kPageSize) {
      has_more = true;
      break;
    }
    items.push_back({{"key", key},
                     {"value", absl::Base64Escape(item.value)},
                     {"revision", item.revision},
                     {"created", item.created},
                     {"lease", item.lease}});
  }
  return Reply({{"items", std::move(items)},
                {"has_more", has_more},
                {"current_rev", revision_}});
}

http::Response PlatformStore::OnTxn(const http::Request& request) {
  const json body = json::parse(request.body);
  json states = json::array();
  bool all_match = true;
  for (const json& condition : body.at("expected_rev")) {
    const std::string key = condition.at("key");
    const auto it = items_.find(key);
    const std::int64_t revision = it == items_.end() ? 0 : it->second.revision;
    all_match =
        all_match && revision == condition.at("revision").get<std::int64_t>();
    states.push_back(
        {{"key", key},
         {"value",
          it == items_.end() ? "" : absl::Base64Escape(it->second.value)},
         {"revision", revision},
         {"created", it == items_.end() ? 0 : it->second.created}});
  }
  if (!all_match) {
    return Reply({{"items", std::move(states)}}, kPreconditionFailed);
  }
  for (const json& put : body.at("puts")) {
    const std::int64_t lease = put.value("lease", std::int64_t{0});
    if (lease != 0 && !leases_.contains(lease)) {
      return Reply({{"error", "no such lease"}}, kNotFound);
    }
  }
  for (const json& put : body.at("puts")) {
    std::string value;
    absl::Base64Unescape(put.at("value").get<std::string>(), &value);
    Write(put.at("key"), value, put.value("lease", std::int64_t{0}));
  }
  for (const json& key : body.at("remove")) {
    Erase(key);
  }
  NotifyWatches();
  return Reply({{"revision", revision_}});
}

http::Response PlatformStore::OnGrantLease(const http::Request& request) {
  const json body = json::parse(request.body);
  const Duration ttl =
      std::chrono::milliseconds(body.at("ttl_ms").get<std::int64_t>());
  leases_[++last_lease_] = {.ttl = ttl, .expiry = runtime_.Now() + ttl};
  return Reply({{"lease", last_lease_}, {"ttl_ms", ToMilliseconds(ttl)}});
}

http::Response PlatformStore::OnRenewLease(const http::Request& request) {
  const auto it = leases_.find(LeaseIdOf(request.path));
  if (it == leases_.end()) {
    return Reply({{"error", "no such lease"}}, kNotFound);
  }
  it->second.expiry = runtime_.Now() + it->second.ttl;
  return Reply({{"ttl_ms", ToMilliseconds(it->second.ttl)}});
}

http::Response PlatformStore::OnRevokeLease(const http::Request& request) {
  const std::int64_t lease = LeaseIdOf(request.path);
  if (!leases_.contains(lease)) {
    return Reply({{"error", "no such lease"}}, kNotFound);
  }
  RevokeLease(lease);
  return Reply(json::object());
}

void PlatformStore::OnWatch(const http::Request& request,
                            http::Responder responder) {
  ++calls_;
  const std::int64_t after = ToInteger(QueryParameter(request, "after"));
  if (is_down_) {
    responder.Send({.status = kUnavailable, .headers = {}, .body = "{}"});
    return;
  }
  if (after + 1 < oldest_revision_) {
    responder.Send({.status = kGone, .headers = {}, .body = "{}"});
    return;
  }
  watches_.push_back(
      {.prefix = QueryParameter(request, "prefix"),
       .after = after,
       .expiry = runtime_.Now() + std::chrono::milliseconds(ToInteger(
                                      QueryParameter(request, "wait_ms"))),
       .responder = std::make_unique<http::Responder>(std::move(responder))});
  NotifyWatches();
}

std::string PlatformStore::EventsAfter(const std::string& prefix,
                                       std::int64_t after) const {
  json events = json::array();
  for (const Change& change : history_) {
    if (change.revision <= after || !change.key.starts_with(prefix)) {
      continue;
    }
    if (change.is_removal) {
      events.push_back({{"key", change.key},
                        {"revision", change.revision},
                        {"deleted", true}});
    } else {
      events.push_back({{"key", change.key},
                        {"value", absl::Base64Escape(change.item.value)},
                        {"revision", change.item.revision},
                        {"created", change.item.created},
                        {"lease", change.item.lease}});
    }
  }
  return events.empty()
             ? std::string()
             : json{{"events", events}, {"current_rev", revision_}}.dump();
}

void PlatformStore::Write(const std::string& key,
                          const std::string& value,
                          std::int64_t lease) {
  Item& item = items_[key];
  item.value = value;
  item.revision = ++revision_;
  item.created = item.created == 0 ? revision_ : item.created;
  item.lease = lease;
  history_.push_back({.revision = revision_, .key = key, .item = item});
}

void PlatformStore::Erase(const std::string& key) {
  if (items_.erase(key) > 0) {
    history_.push_back(
        {.revision = ++revision_, .key = key, .is_removal = true, .item = {}});
  }
}

void PlatformStore::RevokeLease(std::int64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Erase(key);
  }
  NotifyWatches();
}

void PlatformStore::NotifyWatches() {
  if (is_stalled_) {
    return;
  }
  for (auto it = watches_.begin(); it != watches_.end();) {
    std::string events = EventsAfter(it->prefix, it->after);
    if (events.empty()) {
      ++it;
      continue;
    }
    it->responder->Send({.body = std::move(events)});
    it = watches_.erase(it);
  }
}

void PlatformStore::Tick() {
  while (!delayed_responses_.empty() &&
         delayed_responses_.begin()->first <= runtime_.Now()) {
    auto delayed = delayed_responses_.extract(delayed_responses_.begin());
    SendResponse(std::move(delayed.mapped().first),
                 std::move(delayed.mapped().second));
  }
  const TimePoint now = runtime_.Now();
  for (auto it = watches_.begin(); it != watches_.end();) {
    if (is_stalled_ || now < it->expiry) {
      ++it;
      continue;
    }
    it->responder->Send(
        Reply({{"events", json::array()}, {"current_rev", revision_}}));
    it = watches_.erase(it);
  }
  std::vector<std::int64_t> expired;
  for (const auto& [lease, current] : leases_) {
    // No lease expires while the store is down; overdue ones expire as soon as
    // it is up again.
    if (!is_down_ && now >= current.expiry) {
      expired.push_back(lease);
    }
  }
  for (const std::int64_t lease : expired) {
    RevokeLease(lease);
  }
  timer_.After(kTickInterval);
}

}  // namespace jaypick::standin
