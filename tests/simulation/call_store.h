// Simulated requests from entries to the platform's key-value service.
#ifndef JAYPICK_TESTS_SIMULATION_CALL_STORE_H_
#define JAYPICK_TESTS_SIMULATION_CALL_STORE_H_

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "tests/simulation/cluster.h"
#include "tests/simulation/entry.h"

namespace jaypick::simulation {

inline constexpr Duration kPlatformTimeout = milliseconds(800);

template <typename Result>
void Cluster::CallStore(Entry& entry,
                        std::function<Result(Store&)> operation,
                        std::function<void(std::optional<Result>)> callback) {
  const auto is_finished = std::make_shared<bool>(false);
  const auto finish = [&entry, generation = entry.generation(), is_finished,
                       callback](std::optional<Result> result) {
    entry.Post(generation, [is_finished, callback, result = std::move(result)] {
      if (!std::exchange(*is_finished, true)) {
        callback(result);
      }
    });
  };
  scheduler.After(kPlatformTimeout, [finish] { finish(std::nullopt); });
  Send(entry.domain(), kPlatform, [this, &entry, finish, operation] {
    const Duration delay =
        random.Span(Duration(0), store.max_delay + Duration(1));
    scheduler.After(delay, [this, &entry, finish, operation] {
      if (store.is_down) {
        return;
      }
      Result result = operation(store);
      if (!random.Chance(store.response_loss)) {
        Send(kPlatform, entry.domain(), [finish, result] { finish(result); });
      }
    });
  });
}

}  // namespace jaypick::simulation

#endif  // JAYPICK_TESTS_SIMULATION_CALL_STORE_H_
