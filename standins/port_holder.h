// Reserves a loopback port for this process, also while it does not listen.
#ifndef STANDINS_PORT_HOLDER_H_
#define STANDINS_PORT_HOLDER_H_

#include <cstdint>

namespace jaypick::standin {

// Reserves a port with a bound socket that does not listen.
//
// The system does not assign the port to another process, and a listener with
// SO_REUSEADDR in this process can still use it. Without the reservation,
// another process may take the port while a stand-in has stopped listening.
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
