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

void LeadershipManager::Offer(const std::string& failure_domain,
                              HeldDomain& held,
                              TimePoint now) {
  const auto token = control::NextLeaderToken(held.offered_token);
  std::vector<control::SuccessorCandidate> views;
  std::vector<const LeaderRecord*> records;
  for (const auto& [instance, peer] : known_peers_) {
    records.push_back(&peer.record);
    views.push_back(
        {.instance = instance,
         .is_in_domain = peer.record.failure_domain == failure_domain,
         .is_draining = peer.is_draining,
         .was_asked = held.offered_to.contains(peer.record.incarnation),
         .processor_share = peer.record.processor_share,
         .silence = now - peer.last_heard});
  }
  const auto choice = control::ChooseSuccessor({}, views);
  if (!token || !choice) {
    return;
  }
  Delegation delegation{.failure_domain = failure_domain,
                        .from = OwnRecord(),
                        .to = *records[*choice],
                        .token = *token,
                        .held_upstreams = held.domain_leader->HeldUpstreams()};
  delegation.held_upstreams.insert(delegation.held_upstreams.end(),
                                   held.withheld.begin(), held.withheld.end());
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
                                : DecodeDelegationResponse(response->body);
        OnOfferAnswer(delegation, answer && answer->is_accepted);
      });
}

// Without an answer the other node may command the domain nevertheless: it has
// the higher tokens then, and the next one that is asked higher ones still.
void LeadershipManager::OnOfferAnswer(const Delegation& delegation,
                                      bool is_accepted) {
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
    if (!it->second.domain_leader->is_draining()) {
      it->second.domain_leader->Drain();
    }
  }
}

void LeadershipManager::OnDelegation(
    const Delegation& delegation,
    std::function<void(bool is_accepted)> answer) {
  const std::string domain = delegation.failure_domain;
  const std::int64_t revision = control::RecordRevision(delegation.token);
  const auto is_possible = [this, domain, revision, delegation] {
    const auto record = view_.leaders().find(domain);
    const bool is_old =
        record != view_.leaders().end() && record->second.revision > revision;
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
                             .held = delegation.held_upstreams};
    Hold(domain, 0, revision, delegation.token);
    answer(true);
  });
}

}  // namespace jaypick::node
