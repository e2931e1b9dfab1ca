#include "standins/port_holder.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <string>

namespace jaypick::standin {

PortHolder::PortHolder(std::uint16_t port)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int on = 1;
  setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  auto* const socket_address = reinterpret_cast<sockaddr*>(&address);
  if (bind(socket_, socket_address, sizeof(address)) != 0) {
    close(socket_);
    throw std::runtime_error("cannot bind port " + std::to_string(port));
  }
  socklen_t size = sizeof(address);
  getsockname(socket_, socket_address, &size);
  value_ = ntohs(address.sin_port);
}

PortHolder::~PortHolder() {
  close(socket_);
}

}  // namespace jaypick::standin
