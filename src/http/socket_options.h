// Socket options and checks shared by all TCP connections of jaypick.
#ifndef JAYPICK_HTTP_SOCKET_OPTIONS_H_
#define JAYPICK_HTTP_SOCKET_OPTIONS_H_

namespace jaypick::http {

// Sets TCP_NODELAY, TCP keep-alive and TCP_USER_TIMEOUT on `socket`.
//
// Accepted sockets inherit all of these from their listening socket. If the
// peer becomes unreachable, the connection fails within `kPeerTimeoutSeconds`,
// both while data is unacknowledged (TCP_USER_TIMEOUT) and while the connection
// is idle (keep-alive).
void SetSocketOptions(int socket);

inline constexpr int kPeerTimeoutSeconds = 10;

// Sets the size of the receive buffer, which accepted sockets inherit as well.
void SetReceiveBuffer(int socket, int bytes);

// State of the socket of an idle connection, checked before it is reused.
enum class IdleSocketState { kReady, kClosedOrUnsolicitedData };

// Checks `socket` without consuming data.
//
// The peer may have closed the connection, or sent unsolicited bytes, in a
// segment that the event loop has not processed yet.
IdleSocketState PeekIdleSocket(int socket);

// Makes closing `socket` reset its connection, so that bytes in transit are
// discarded instead of being delivered after the request was cancelled.
void ResetOnClose(int socket);

// Returns true if the connection is not established yet, so that no byte of a
// request can have been written.
bool IsConnecting(int socket);

}  // namespace jaypick::http

#endif  // JAYPICK_HTTP_SOCKET_OPTIONS_H_
