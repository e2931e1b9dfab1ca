// Program that runs the stand-in of the platform's instance list.
#include "standins/instances_service.h"
#include "standins/program.h"

int main(int argc, char** argv) {
  jaypick::standin::Program program(argc, argv);
  const jaypick::standin::InstancesService service(
      program.base(),
      {.port = program.port(), .control_port = program.control_port()});
  return program.Run("instances", service.port(), service.control_port());
}
