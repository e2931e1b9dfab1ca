// Delegation: hand-over of the leadership of a domain directly to another node,
// without the store.
//
// If a leader shuts down while the store is unreachable, no node can claim its
// domain until the store is back. The range of fencing tokens that comes with a
// leader record belongs to that leader alone, so it can pass the upper part of
// the range on to a successor.
#include <utility>

#include "control/fencing_token.h"
#include "control/successor_choice.h"
#include "daemon/log.h"
#include "node/leadership_manager.h"

namespace jaypick::node {
namespace {

using daemon::LogEvent;
using daemon::LogLevel;

// The successor polls upstreams of the domain before it responds: two round
// trips plus one turn of a busy event loop.
constexpr Duration kOfferTimeout = std::chrono::milliseconds(300);

}  // namespace

void LeadershipManager::OfferDelegation(const std::string& failure_domain,
                                        HeldDomain& held_domain,
                                        TimePoint now) {
  const auto token = control::NextLeaderToken(held_domain.offered_token);
  std::vector<control::SuccessorCandidate> candidates;
  std::vector<const LeaderRecord*> records;
  for (const auto& [instance, peer] : known_peers_) {
    records.push_back(&peer.record);
    candidates.push_back(
        {.instance = instance,
         .is_in_domain = peer.record.failure_domain == failure_domain,
         .is_draining = peer.is_draining,
         .was_asked = held_domain.offered_to.contains(peer.record.incarnation),
         .processor_share = peer.record.processor_share,
         .silence = now - peer.last_heard});
  }
  const auto choice = control::ChooseSuccessor({}, candidates);
  if (!token || !choice) {
    return;
  }
  Delegation delegation{
      .failure_domain = failure_domain,
      .from = OwnRecord(),
      .to = *records[*choice],
      .token = *token,
      .held_upstreams = held_domain.domain_leader->HeldUpstreams()};
  delegation.held_upstreams.insert(delegation.held_upstreams.end(),
                                   held_domain.predecessor_upstreams.begin(),
                                   held_domain.predecessor_upstreams.end());
  // The response to the offer may get lost although the peer has become leader,
  // so no token is offered twice.
  held_domain.offered_token = *token;
  held_domain.offered_to.insert(delegation.to.incarnation);
  held_domain.is_offering = true;
  peers_.Send(
      delegation.to.address,
      {.method = http::Method::kPost,
       .path = kDelegationPath,
       .body = Encode(
           DelegationOffer{.delegation = delegation,
                           .upstreams = view_.UpstreamItems(failure_domain)})},
      kOfferTimeout,
      [this, delegation, alive = is_alive_](const http::ClientResult& result) {
        if (!*alive) {
          return;
        }
        const auto* const response = std::get_if<http::Response>(&result);
        const auto decoded = response == nullptr
                                 ? std::nullopt
                                 : DecodeDelegationResponse(response->body);
        OnDelegationResponse(delegation, decoded && decoded->is_accepted);
      });
}

// An offer without a response may still have been accepted. That is safe: the
// peer then has higher tokens than this node, and the next peer that is asked
// gets higher ones still.
void LeadershipManager::OnDelegationResponse(const Delegation& delegation,
                                             bool is_accepted) {
  const std::string& domain = delegation.failure_domain;
  LogEvent(LogLevel::kInfo,
           is_accepted ? "command_delegated" : "command_offer_failed",
           {{"domain", domain},
            {"instance", delegation.to.instance},
            {"token", std::to_string(delegation.token)}});
  const auto it = held_domains_.find(domain);
  if (it != held_domains_.end()) {
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
  if (it != held_domains_.end()) {
    it->second.is_delegated = true;
    if (!it->second.domain_leader->is_draining()) {
      it->second.domain_leader->Drain();
    }
  }
}

void LeadershipManager::OnDelegation(
    const DelegationOffer& offer,
    std::function<void(bool is_accepted)> respond) {
  const Delegation& delegation = offer.delegation;
  const std::string domain = delegation.failure_domain;
  const std::int64_t revision = control::RecordRevision(delegation.token);
  const auto can_accept = [this, domain, revision, delegation] {
    const auto record = view_.leaders().find(domain);
    const bool is_outdated =
        record != view_.leaders().end() && record->second.revision > revision;
    // Without the operators' keys, the domain may be evacuated unknown to this
    // node.
    return view_.has_read_operator_keys() && !is_draining_ &&
           !held_domains_.contains(domain) && !is_outdated &&
           IsOwn(delegation.to);
  };
  if (!can_accept()) {
    respond(false);
    return;
  }
  view_.ImportUpstreams(offer.upstreams);
  // If no upstream can be reached from here, the offer is left unanswered so
  // that it goes to another node.
  Probe(domain, [this, domain, revision, delegation, can_accept,
                 respond = std::move(respond)] {
    if (!can_accept()) {
      return;
    }
    predecessors_[domain] = {.record = delegation.from,
                             .held_upstreams = delegation.held_upstreams};
    BecomeLeader(domain, 0, revision, delegation.token);
    respond(true);
  });
}

}  // namespace jaypick::node
