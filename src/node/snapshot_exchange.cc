#include "node/snapshot_exchange.h"

#include <utility>

#include "daemon/log.h"

namespace jaypick::node {
namespace {

using daemon::LogEvent;
using daemon::LogLevel;

constexpr int kOk = 200;
constexpr Duration kViewTimeout = std::chrono::milliseconds(400);
// Three intervals of pings.
constexpr Duration kSilentAfter = std::chrono::milliseconds(600);
// Between two tries to reach silent nodes: half the time after which a node
// counts as silent.
constexpr Duration kSendInterval = std::chrono::milliseconds(300);
// A node that has been silent for longer was removed, not restarted.
constexpr Duration kForgottenAfter = std::chrono::seconds(30);

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
  ReadFromHolder();
  SendToSilentPeers();
}

StoreSnapshot SnapshotExchange::Export() const {
  return {.mirrors = view_.Export(), .delegations = peers_.delegations()};
}

void SnapshotExchange::Import(StoreSnapshot view) {
  if (view_.is_connected()) {
    return;
  }
  for (const Delegation& delegation : view.delegations) {
    peers_.OnDelegation(delegation);
  }
  view_.Import(std::move(view.mirrors));
}

void SnapshotExchange::ReadFromHolder() {
  if (is_reading_) {
    return;
  }
  for (const std::string& domain : settings_.failure_domains) {
    const LeaderRecord* const holder = peers_.LeaderOf(domain);
    if (holder == nullptr || holder->instance == settings_.instance ||
        peers_.LeaderStateOf(domain) != control::LeaderState::kAlive) {
      continue;
    }
    is_reading_ = true;
    peers_.Send(holder->address,
                {.method = http::Method::kGet, .path = kViewPath}, kViewTimeout,
                [this, alive = is_alive_](const http::ClientResult& result) {
                  if (!*alive) {
                    return;
                  }
                  is_reading_ = false;
                  const auto* const response =
                      std::get_if<http::Response>(&result);
                  if (response == nullptr) {
                    return;
                  }
                  if (auto view = DecodeStoreSnapshot(response->body)) {
                    Import(*std::move(view));
                  }
                });
    return;
  }
}

void SnapshotExchange::SendToSilentPeers() {
  const TimePoint now = runtime_.Now();
  if (!leadership_manager_.leads_any_domain() || now - sent_ < kSendInterval) {
    return;
  }
  sent_ = now;
  std::string body;
  for (const auto& [instance, peer] : leadership_manager_.known_peers()) {
    const Duration silence = now - peer.last_heard;
    const auto told = told_.find(instance);
    const bool is_told = told != told_.end() && told->second == peer.last_heard;
    if (silence < kSilentAfter || silence > kForgottenAfter || is_told ||
        !sending_.insert(instance).second) {
      continue;
    }
    if (body.empty()) {
      body = Encode(Export());
    }
    peers_.Send(
        peer.record.address,
        {.method = http::Method::kPost, .path = kViewPath, .body = body},
        kViewTimeout,
        [this, instance = instance, heard = peer.last_heard,
         alive = is_alive_](const http::ClientResult& result) {
          if (!*alive) {
            return;
          }
          sending_.erase(instance);
          const auto* const response = std::get_if<http::Response>(&result);
          // A node that does not listen yet is tried again.
          if (response != nullptr && response->status == kOk) {
            told_[instance] = heard;
            LogEvent(LogLevel::kInfo, "view_sent", {{"instance", instance}});
          }
        });
  }
}

}  // namespace jaypick::node
