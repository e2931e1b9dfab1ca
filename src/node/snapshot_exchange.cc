#include "node/snapshot_exchange.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>
#include <vector>

#include "daemon/log.h"

namespace jaypick::node {
namespace {

using daemon::LogEvent;
using daemon::LogLevel;
using Part = StoreView::Part;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr Duration kSnapshotTimeout = std::chrono::milliseconds(400);
constexpr Duration kReadInterval = std::chrono::milliseconds(250);
// Age of the list of upstreams at which a leader reads it again, although the
// peer has seen no change.
constexpr Duration kUpstreamRefreshAge = std::chrono::milliseconds(400);
// Three ping intervals.
constexpr Duration kSilentAfter = std::chrono::milliseconds(600);
// Interval of attempts to reach silent nodes: half of `kSilentAfter`.
constexpr Duration kSendInterval = std::chrono::milliseconds(300);
// A node that has been silent for longer was probably removed, not restarted.
constexpr Duration kMaxSilence = std::chrono::seconds(30);
// Most silent nodes do not respond at all, and each attempt occupies a
// connection until it times out.
constexpr std::size_t kMaxConcurrentSends = 16;

const char* QueryName(Part part) {
  switch (part) {
    case Part::kConfiguration:
      return "configuration";
    case Part::kUpstreams:
      return "upstreams";
    case Part::kLeaders:
      break;
  }
  return "leaders";
}

std::int64_t RevisionOf(const StoreStatus& store, Part part) {
  switch (part) {
    case Part::kConfiguration:
      return store.configuration_revision;
    case Part::kUpstreams:
      return store.upstream_revision;
    case Part::kLeaders:
      break;
  }
  return store.leader_revision;
}

std::optional<std::int64_t> ParseRevision(const std::string& text) {
  std::int64_t revision = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, revision);
  const bool is_valid =
      result.ec == std::errc() && result.ptr == end && revision >= 0;
  return is_valid ? std::optional(revision) : std::nullopt;
}

}  // namespace

SnapshotExchange::SnapshotExchange(Runtime& runtime,
                                   const NodeSettings& settings,
                                   StoreView& view,
                                   Peers& peers,
                                   LeadershipManager& leadership_manager)
    : runtime_(runtime),
      settings_(settings),
      view_(view),
      peers_(peers),
      leadership_manager_(leadership_manager),
      is_alive_(std::make_shared<bool>(true)) {}

SnapshotExchange::~SnapshotExchange() {
  *is_alive_ = false;
}

void SnapshotExchange::Tick() {
  const TimePoint now = runtime_.Now();
  ReadFromLeader(now);
  if (!view_.is_connected()) {
    SendToSilentPeers(now);
  }
}

StoreSnapshot SnapshotExchange::Export(const KnownRevisions& known) const {
  StoreSnapshot snapshot{.delegations = peers_.delegations()};
  for (const auto& [part, revision] : known) {
    snapshot.mirrors.push_back(view_.ChangesSince(part, revision));
  }
  return snapshot;
}

http::Response SnapshotExchange::Respond(const http::Request& request) {
  KnownRevisions known;
  for (const Part part : StoreView::kParts) {
    const auto parameter = request.query.find(QueryName(part));
    if (parameter == request.query.end()) {
      continue;
    }
    const auto revision = ParseRevision(parameter->second);
    if (!revision) {
      return {.status = kBadRequest,
              .headers = {},
              .body = R"({"error":"a revision is not a number"})"};
    }
    known[part] = *revision;
  }
  if (known.empty()) {
    // Nodes of earlier versions read everything.
    for (const Part part : StoreView::kParts) {
      known[part] = 0;
    }
  }
  ++requests_;
  http::Response response{.body = Encode(Export(known))};
  bytes_sent_ += response.body.size();
  return response;
}

void SnapshotExchange::Import(StoreSnapshot snapshot, TimePoint sent) {
  if (view_.is_connected()) {
    return;
  }
  for (const Delegation& delegation : snapshot.delegations) {
    peers_.OnDelegation(delegation);
  }
  view_.Import(std::move(snapshot.mirrors), sent);
}

SnapshotExchange::KnownRevisions SnapshotExchange::MissingParts() const {
  KnownRevisions missing;
  for (const Part part : StoreView::kParts) {
    const bool is_needed =
        part != Part::kUpstreams || leadership_manager_.leads_any_domain();
    if (is_needed && !view_.is_connected(part)) {
      missing[part] = view_.revision(part);
    }
  }
  return missing;
}

const LeaderRecord* SnapshotExchange::ChooseSource(
    const KnownRevisions& missing,
    TimePoint now) {
  const auto knows_more = [&](const StoreStatus& store) {
    return std::ranges::any_of(missing, [&](const auto& known) {
      const auto& [part, revision] = known;
      const bool is_refresh_due =
          part == Part::kUpstreams && store.is_connected &&
          now - view_.upstreams_as_of() >= kUpstreamRefreshAge;
      return RevisionOf(store, part) > revision || is_refresh_due;
    });
  };
  // Nodes of a domain read from its own leader, so that the load is spread.
  std::vector<std::string> domains = settings_.failure_domains;
  std::stable_partition(domains.begin(), domains.end(),
                        [&](const std::string& domain) {
                          return domain == settings_.failure_domain;
                        });
  for (const std::string& domain : domains) {
    const LeaderRecord* const leader = peers_.LeaderOf(domain);
    const StoreStatus* const store = peers_.LeaderStoreStatus(domain);
    if (leader != nullptr && store != nullptr &&
        leader->instance != settings_.instance && knows_more(*store)) {
      return leader;
    }
  }
  return nullptr;
}

void SnapshotExchange::ReadFromLeader(TimePoint now) {
  const KnownRevisions missing = MissingParts();
  if (is_reading_ || now < next_read_ || missing.empty()) {
    return;
  }
  const LeaderRecord* const source = ChooseSource(missing, now);
  if (source == nullptr) {
    return;
  }
  is_reading_ = true;
  next_read_ = now + kReadInterval;
  http::Request request{.method = http::Method::kGet, .path = kSnapshotPath};
  for (const auto& [part, revision] : missing) {
    request.query[QueryName(part)] = std::to_string(revision);
  }
  peers_.Send(
      source->address, std::move(request), kSnapshotTimeout,
      [this, sent = now, alive = is_alive_](const http::ClientResult& result) {
        if (!*alive) {
          return;
        }
        is_reading_ = false;
        const auto* const response = std::get_if<http::Response>(&result);
        if (response == nullptr) {
          return;
        }
        if (auto snapshot = DecodeStoreSnapshot(response->body)) {
          Import(*std::move(snapshot), sent);
        }
      });
}

// The leader of a peer's domain informs it, or any leader if that domain has
// none.
bool SnapshotExchange::IsResponsibleFor(const LeaderRecord& peer) {
  const std::string& domain = peer.failure_domain;
  if (leadership_manager_.Find(domain) != nullptr) {
    return true;
  }
  const control::LeaderState state = peers_.LeaderStateOf(domain);
  return state != control::LeaderState::kAlive &&
         state != control::LeaderState::kLeaving;
}

void SnapshotExchange::SendToSilentPeers(TimePoint now) {
  if (!leadership_manager_.leads_any_domain() ||
      now - last_send_ < kSendInterval) {
    return;
  }
  last_send_ = now;
  std::string body;
  for (const auto& [instance, peer] : leadership_manager_.known_peers()) {
    const Duration silence = now - peer.last_heard;
    const auto delivered = delivered_.find(instance);
    const bool is_delivered =
        delivered != delivered_.end() && delivered->second == peer.last_heard;
    if (silence < kSilentAfter || silence > kMaxSilence || is_delivered ||
        sending_.size() >= kMaxConcurrentSends ||
        !IsResponsibleFor(peer.record) || !sending_.insert(instance).second) {
      continue;
    }
    if (body.empty()) {
      body = Encode(Export({{Part::kConfiguration, 0}, {Part::kLeaders, 0}}));
    }
    bytes_sent_ += body.size();
    peers_.Send(
        peer.record.address,
        {.method = http::Method::kPost, .path = kSnapshotPath, .body = body},
        kSnapshotTimeout,
        [this, instance = instance, last_heard = peer.last_heard,
         alive = is_alive_](const http::ClientResult& result) {
          if (!*alive) {
            return;
          }
          sending_.erase(instance);
          const auto* const response = std::get_if<http::Response>(&result);
          // If the request failed, e.g. because the node does not listen yet, a
          // later tick retries.
          if (response != nullptr && response->status == kOk) {
            delivered_[instance] = last_heard;
            LogEvent(LogLevel::kInfo, "view_sent", {{"instance", instance}});
          }
        });
  }
}

}  // namespace jaypick::node
