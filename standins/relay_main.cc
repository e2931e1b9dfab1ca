// Program that runs the loopback TCP relay.
#include <absl/flags/flag.h>

#include <cstdint>

#include "standins/program.h"
#include "standins/relay.h"

ABSL_FLAG(std::uint32_t, target_port, 0, "loopback port to relay to");

int main(int argc, char** argv) {
  jaypick::standin::Program program(argc, argv);
  const jaypick::standin::Relay relay(
      program.base(), {.port = program.port(),
                       .control_port = program.control_port(),
                       .target_port = static_cast<std::uint16_t>(
                           absl::GetFlag(FLAGS_target_port))});
  return program.Run("relay", relay.port(), relay.control_port());
}
