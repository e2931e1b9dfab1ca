// Giving the command of a domain to another node without the store.
//
// A holder that shuts down while the store is away would leave its domain
// without a commander until the store is back. The tokens that came with its
// record are the holder's alone, so it may pass the higher part of them on.
#include <utility>

#include "control/fencing_token.h"
#include "control/successor_choice.h"
#include "daemon/log.h"
#include "node/leadership_manager.h"

namespace jaypick::node {
namespace {

using daemon::LogEvent;
using daemon::LogLevel;

// The successor asks upstreams of the domain before it answers: two round trips
// and a turn of a busy event loop.
constexpr Duration kOfferTimeout = std::chrono::milliseconds(300);

}  // namespace

void Keeper::Offer(const std::string& failure_domain,
                   Held& held,
                   TimePoint now) {
  const auto token = command::NextHolderToken(held.offered_token);
  std::vector<command::SuccessorView> views;
  std::vector<const CommandRecord*> records;
  for (const auto& [instance, peer] : peers_heard_) {
    records.push_back(&peer.record);
    views.push_back(
        {.instance = instance,
         .is_home = peer.record.failure_domain == failure_domain,
         .is_draining = peer.is_draining,
         .was_asked = held.offered_to.contains(peer.record.incarnation),
         .processor_share = peer.record.processor_share,
         .silence = now - peer.heard});
  }
  const auto choice = command::ChooseSuccessor({}, views);
  if (!token || !choice) {
    return;
  }
  Delegation delegation{.failure_domain = failure_domain,
                        .from = OwnRecord(),
                        .to = *records[*choice],
                        .token = *token,
                        .held = held.commander->HeldUpstreams()};
  delegation.held.insert(delegation.held.end(), held.withheld.begin(),
                         held.withheld.end());
  // An answer may get lost, so no token is offered twice.
  held.offered_token = *token;
  held.offered_to.insert(delegation.to.incarnation);
  held.is_offering = true;
  peers_.Send(
      delegation.to.address,
      {.method = http::Method::kPost,
       .path = kDelegationPath,
       .body = Encode(delegation)},
      kOfferTimeout,
      [this, delegation, alive = is_alive_](const http::ClientResult& result) {
        if (!*alive) {
          return;
        }
        const auto* const response = std::get_if<http::Response>(&result);
        const auto answer = response == nullptr
                                ? std::nullopt
                                : DecodeDelegationAnswer(response->body);
        OnOfferAnswer(delegation, answer && answer->is_accepted);
      });
}

// Without an answer the other node may command the domain nevertheless: it has
// the higher tokens then, and the next one that is asked higher ones still.
void Keeper::OnOfferAnswer(const Delegation& delegation, bool is_accepted) {
  const std::string& domain = delegation.failure_domain;
  LogEvent(LogLevel::kInfo,
           is_accepted ? "command_delegated" : "command_offer_failed",
           {{"domain", domain},
            {"instance", delegation.to.instance},
            {"token", std::to_string(delegation.token)}});
  const auto it = held_.find(domain);
  if (it != held_.end()) {
    it->second.is_offering = false;
  }
  if (!is_accepted) {
    return;
  }
  std::erase_if(delegations_, [&](const Delegation& each) {
    return each.failure_domain == domain;
  });
  delegations_.push_back(delegation);
  peers_.OnDelegation(delegation);
  if (it != held_.end()) {
    it->second.is_delegated = true;
    if (!it->second.commander->is_draining()) {
      it->second.commander->Drain();
    }
  }
}

void Keeper::OnDelegation(const Delegation& delegation,
                          std::function<void(bool is_accepted)> answer) {
  const std::string domain = delegation.failure_domain;
  const std::int64_t revision = command::RevisionOf(delegation.token);
  const auto is_possible = [this, domain, revision, delegation] {
    const auto record = view_.commands().find(domain);
    const bool is_old =
        record != view_.commands().end() && record->second.revision > revision;
    return !is_draining_ && !held_.contains(domain) && !is_old &&
           IsOwn(delegation.to);
  };
  if (!is_possible()) {
    answer(false);
    return;
  }
  // Upstreams that cannot be reached from here are better left to another node.
  Probe(domain, [this, domain, revision, delegation, is_possible,
                 answer = std::move(answer)] {
    if (!is_possible()) {
      return;
    }
    predecessors_[domain] = {.record = delegation.from,
                             .held = delegation.held};
    Hold(domain, 0, revision, delegation.token);
    answer(true);
  });
}

}  // namespace jaypick::node
