#include "jaypick/internal/job.h"

#include <memory>

#include <xxhash.h>

namespace jaypick::internal {
namespace {

struct StateDeleter {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

// Hashes the length before the text, so that different lists of texts never
// yield the same byte sequence.
void Update(XXH3_state_t* state, const std::string& text) {
  const std::uint64_t size = text.size();
  XXH3_64bits_update(state, &size, sizeof(size));
  XXH3_64bits_update(state, text.data(), text.size());
}

}  // namespace

std::uint64_t DigestOf(const JobRequest& request) {
  const std::unique_ptr<XXH3_state_t, StateDeleter> state(XXH3_createState());
  XXH3_64bits_reset(state.get());
  Update(state.get(), request.owner);
  Update(state.get(), request.service);
  Update(state.get(), request.kind);
  for (const std::string& task : request.tasks) {
    Update(state.get(), task);
  }
  return XXH3_64bits_digest(state.get());
}

std::size_t PayloadBytes(const JobRequest& request) {
  std::size_t bytes = 0;
  for (const std::string& task : request.tasks) {
    bytes += task.size();
  }
  return bytes;
}

}  // namespace jaypick::internal
