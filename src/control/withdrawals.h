// Forwarded jobs that this process no longer waits for.
#ifndef JAYPICK_CONTROL_WITHDRAWALS_H_
#define JAYPICK_CONTROL_WITHDRAWALS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "jaypick/instance.h"
#include "jaypick/time.h"

namespace jaypick::control {

// Numbers a process's requests that forward a job, also those to different
// peers.
using ForwardNumber = std::uint64_t;

// Remembers which forwarded jobs a peer may still work on although nobody waits
// for them here.
//
// The end of a request's connection may be lost. So each ping repeats the
// numbers of the requests that ended without a response, until a response to a
// ping has acknowledged them, or their leases have expired.
class Withdrawals {
 public:
  // The request has ended without a response.
  void Add(TimePoint now, const Address& peer, ForwardNumber number);

  // Numbers that the next ping to the peer has to contain.
  std::vector<ForwardNumber> Pending(TimePoint now, const Address& peer);

  // The peer has dropped the jobs of these requests.
  void Acknowledge(const Address& peer,
                   const std::vector<ForwardNumber>& numbers);

  // The peers for which numbers are pending.
  std::vector<Address> Peers(TimePoint now);

 private:
  void RemoveExpired(TimePoint now);

  // When each request ended.
  std::map<Address, std::map<ForwardNumber, TimePoint>> pending_;
};

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_WITHDRAWALS_H_
