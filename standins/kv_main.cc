// Program that runs the stand-in of the platform's key-value service.
#include "standins/kv_service.h"
#include "standins/program.h"

int main(int argc, char** argv) {
  jaypick::standin::Program program(argc, argv);
  const jaypick::standin::KvService service(
      program.base(),
      {.port = program.port(), .control_port = program.control_port()});
  return program.Run("kv", service.port(), service.control_port());
}
