// Calls of entries to the key-value service of the randomised run.
#ifndef JAYPICK_TESTS_SIMULATION_CALL_STORE_H_
#define JAYPICK_TESTS_SIMULATION_CALL_STORE_H_

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "tests/simulation/entry.h"
#include "tests/simulation/world.h"

namespace jaypick::simulation {

inline constexpr Duration kPlatformTimeout = milliseconds(800);

template <typename Result>
void World::CallStore(Entry& entry,
                      std::function<Result(Store&)> operation,
                      std::function<void(std::optional<Result>)> callback) {
  const auto has_ended = std::make_shared<bool>(false);
  const auto end = [&entry, life = entry.life(), has_ended,
                    callback](std::optional<Result> result) {
    entry.Post(life, [has_ended, callback, result = std::move(result)] {
      if (!std::exchange(*has_ended, true)) {
        callback(result);
      }
    });
  };
  scheduler.After(kPlatformTimeout, [end] { end(std::nullopt); });
  Send(entry.domain(), kPlatform, [this, &entry, end, operation] {
    const Duration delay =
        random.Span(Duration(0), store.slowness + Duration(1));
    scheduler.After(delay, [this, &entry, end, operation] {
      if (store.is_down) {
        return;
      }
      Result result = operation(store);
      if (!random.Chance(store.answer_loss)) {
        Send(kPlatform, entry.domain(), [end, result] { end(result); });
      }
    });
  });
}

}  // namespace jaypick::simulation

#endif  // JAYPICK_TESTS_SIMULATION_CALL_STORE_H_
