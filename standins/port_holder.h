// A loopback port that stays this process's own while nobody listens on it.
#ifndef STANDINS_PORT_HOLDER_H_
#define STANDINS_PORT_HOLDER_H_

#include <cstdint>

namespace jaypick::standin {

// Holds a port with a bound socket that does not listen.
//
// The system gives the port to nobody else, and a listener with SO_REUSEADDR
// can still use it. Without it, a stand-in that stops listening for a while may
// find its port taken.
class PortHolder {
 public:
  // Port 0 lets the system choose. Throws `std::runtime_error` if the port is
  // taken.
  explicit PortHolder(std::uint16_t port = 0);
  ~PortHolder();
  PortHolder(const PortHolder&) = delete;
  PortHolder& operator=(const PortHolder&) = delete;

  std::uint16_t value() const { return value_; }

 private:
  int socket_;
  std::uint16_t value_ = 0;
};

}  // namespace jaypick::standin

#endif  // STANDINS_PORT_HOLDER_H_
