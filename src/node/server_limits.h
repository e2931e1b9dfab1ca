// The limits of a node's servers, from those of its machine.
#ifndef JAYPICK_NODE_SERVER_LIMITS_H_
#define JAYPICK_NODE_SERVER_LIMITS_H_

#include <cstddef>

#include "http/connection_limits.h"

namespace jaypick::node {

// What the process may use.
struct MachineLimits {
  std::size_t memory_bytes = std::size_t{512} * 1024 * 1024;
  std::size_t descriptors = 8192;

  friend bool operator==(const MachineLimits&, const MachineLimits&) = default;
};

// What the machine and the system leave to this process: the machine's memory,
// and the limit of open descriptors.
MachineLimits DetectMachineLimits();

// The lower of both for each resource.
MachineLimits LowerOf(const MachineLimits& a, const MachineLimits& b);

struct ServerLimits {
  http::ConnectionLimits callers;
  http::ConnectionLimits peers;
  http::ConnectionLimits readiness;
  http::ConnectionLimits metrics;
};

// Divides the memory and the descriptors among the servers. What is left is for
// jobs, and for the connections that the node opens itself.
ServerLimits ShareLimits(const MachineLimits& machine);

// Memory for jobs that are known to the process, and for runs of their tasks.
struct JobMemoryLimits {
  std::size_t job_bytes = 0;
  std::size_t run_bytes = 0;
};

JobMemoryLimits ShareJobMemory(const MachineLimits& machine);

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_SERVER_LIMITS_H_
