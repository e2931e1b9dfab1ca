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

ViewExchange::ViewExchange(Runtime& runtime,
                           const NodeSettings& settings,
                           SharedView& view,
                           Peers& peers,
                           Keeper& keeper)
    : runtime_(runtime),
      settings_(settings),
      view_(view),
      peers_(peers),
      keeper_(keeper),
      is_alive_(std::make_shared<bool>(true)) {}

ViewExchange::~ViewExchange() {
  *is_alive_ = false;
}

void ViewExchange::Tick() {
  if (view_.is_connected()) {
    return;
  }
  ReadFromHolder();
  SendToSilentPeers();
}

NodeView ViewExchange::Export() const {
  return {.mirrors = view_.Export(), .delegations = peers_.delegations()};
}

void ViewExchange::Import(NodeView view) {
  if (view_.is_connected()) {
    return;
  }
  for (const Delegation& delegation : view.delegations) {
    peers_.OnDelegation(delegation);
  }
  view_.Import(std::move(view.mirrors));
}

void ViewExchange::ReadFromHolder() {
  if (is_reading_) {
    return;
  }
  for (const std::string& domain : settings_.failure_domains) {
    const CommandRecord* const holder = peers_.Holder(domain);
    if (holder == nullptr || holder->instance == settings_.instance ||
        peers_.StateOf(domain) != command::HolderState::kAlive) {
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
                  if (auto view = DecodeView(response->body)) {
                    Import(*std::move(view));
                  }
                });
    return;
  }
}

void ViewExchange::SendToSilentPeers() {
  const TimePoint now = runtime_.Now();
  if (!keeper_.has_commands() || now - sent_ < kSendInterval) {
    return;
  }
  sent_ = now;
  std::string body;
  for (const auto& [instance, peer] : keeper_.peers_heard()) {
    const Duration silence = now - peer.heard;
    const auto told = told_.find(instance);
    const bool is_told = told != told_.end() && told->second == peer.heard;
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
        [this, instance = instance, heard = peer.heard,
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
