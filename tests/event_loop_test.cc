// Tests of the event loop that other tests use.
#include "tests/event_loop.h"

#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace jaypick::testing {
namespace {

// Guards against a test process that is ended by SIGPIPE because it writes to a
// process that was killed, as the relays of the soak test do.
Test(event_loop, write_to_a_closed_peer_is_an_error) {
  const EventLoop loop;
  std::array<int, 2> ends{};
  cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
  close(ends[1]);
  cr_assert_eq(write(ends[0], "x", 1), -1);
  cr_assert_eq(errno, EPIPE);
  close(ends[0]);
}

}  // namespace
}  // namespace jaypick::testing
