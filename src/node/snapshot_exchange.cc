#include "node/snapshot_exchange.h"

#include <utility>

#include "daemon/log.h"

namespace jaypick::node {
namespace {

using daemon::LogEvent;
using daemon::LogLevel;

constexpr int kOk = 200;
constexpr Duration kSnapshotTimeout = std::chrono::milliseconds(400);
// Three ping intervals.
constexpr Duration kSilentAfter = std::chrono::milliseconds(600);
// Interval of attempts to reach silent nodes: half of `kSilentAfter`.
constexpr Duration kSendInterval = std::chrono::milliseconds(300);
// A node that has been silent for longer was probably removed, not restarted.
constexpr Duration kMaxSilence = std::chrono::seconds(30);

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
  if (view_.is_connected()) {
    return;
  }
  ReadFromLeader();
  SendToSilentPeers();
}

StoreSnapshot SnapshotExchange::Export() const {
  return {.mirrors = view_.Export(), .delegations = peers_.delegations()};
}

void SnapshotExchange::Import(StoreSnapshot snapshot) {
  if (view_.is_connected()) {
    return;
  }
  for (const Delegation& delegation : snapshot.delegations) {
    peers_.OnDelegation(delegation);
  }
  view_.Import(std::move(snapshot.mirrors));
}

void SnapshotExchange::ReadFromLeader() {
  if (is_reading_) {
    return;
  }
  for (const std::string& domain : settings_.failure_domains) {
    const LeaderRecord* const leader = peers_.LeaderOf(domain);
    if (leader == nullptr || leader->instance == settings_.instance ||
        peers_.LeaderStateOf(domain) != control::LeaderState::kAlive) {
      continue;
    }
    is_reading_ = true;
    peers_.Send(
        leader->address, {.method = http::Method::kGet, .path = kSnapshotPath},
        kSnapshotTimeout,
        [this, alive = is_alive_](const http::ClientResult& result) {
          if (!*alive) {
            return;
          }
          is_reading_ = false;
          const auto* const response = std::get_if<http::Response>(&result);
          if (response == nullptr) {
            return;
          }
          if (auto snapshot = DecodeStoreSnapshot(response->body)) {
            Import(*std::move(snapshot));
          }
        });
    return;
  }
}

void SnapshotExchange::SendToSilentPeers() {
  const TimePoint now = runtime_.Now();
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
        !sending_.insert(instance).second) {
      continue;
    }
    if (body.empty()) {
      body = Encode(Export());
    }
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
