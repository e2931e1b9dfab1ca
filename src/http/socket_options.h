// Options that all TCP sockets of jaypick share.
#ifndef JAYPICK_HTTP_SOCKET_OPTIONS_H_
#define JAYPICK_HTTP_SOCKET_OPTIONS_H_

namespace jaypick::http {

// Sets TCP_NODELAY, TCP keep-alive and TCP_USER_TIMEOUT on `socket`.
//
// Accepted sockets inherit all of them from their listening socket. A peer that
// vanished without a word is noticed within `kSilentPeerSeconds`, both while
// data is outstanding (user timeout) and while the connection is idle
// (keep-alive).
void SetSocketOptions(int socket);

inline constexpr int kSilentPeerSeconds = 10;

// What an idle connection's socket shows before it is used again.
enum class IdleSocketState { kReady, kClosedOrUnsolicitedData };

// Looks at `socket` without consuming anything.
//
// The peer may have closed the connection, or sent bytes nobody asked for, in a
// segment that the event loop has not processed yet.
IdleSocketState PeekIdleSocket(int socket);

// Lets the closing of `socket` reset its connection, so that bytes that are
// still on their way are dropped and not delivered after their sender gave up.
void ResetOnClose(int socket);

// True if the socket's connection is not established yet, so that no byte of
// a request can have been written.
bool IsConnecting(int socket);

}  // namespace jaypick::http

#endif  // JAYPICK_HTTP_SOCKET_OPTIONS_H_
