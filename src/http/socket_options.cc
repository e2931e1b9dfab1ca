#include "http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace jaypick::http {
namespace {

constexpr int kKeepAliveIdleSeconds = 5;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes =
    (kPeerTimeoutSeconds - kKeepAliveIdleSeconds) / kKeepAliveIntervalSeconds;
constexpr int kMillisecondsPerSecond = 1000;

void SetOption(int socket, int level, int name, int value) {
  // Errors are ignored: the connection works without the option.
  static_cast<void>(::setsockopt(socket, level, name, &value, sizeof(value)));
}

}  // namespace

void SetSocketOptions(int socket) {
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            kPeerTimeoutSeconds * kMillisecondsPerSecond);
}

void SetReceiveBuffer(int socket, int bytes) {
  SetOption(socket, SOL_SOCKET, SO_RCVBUF, bytes);
}

IdleSocketState PeekIdleSocket(int socket) {
  char byte = 0;
  const auto size = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    return IdleSocketState::kReady;
  }
  return IdleSocketState::kClosedOrUnsolicitedData;
}

void ResetOnClose(int socket) {
  const linger reset{.l_onoff = 1, .l_linger = 0};
  // Errors are ignored: a connection that was never opened needs no reset.
  static_cast<void>(
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)));
}

bool IsConnecting(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return false;
  }
  return info.tcpi_state == TCP_SYN_SENT;
}

}  // namespace jaypick::http
