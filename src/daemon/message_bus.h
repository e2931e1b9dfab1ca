// Message bus: delivers messages between plug-ins on the event loop.
#ifndef JAYPICK_DAEMON_MESSAGE_BUS_H_
#define JAYPICK_DAEMON_MESSAGE_BUS_H_

#include <array>
#include <cstddef>
#include <functional>
#include <utility>
#include <variant>
#include <vector>

#include "daemon/message.h"

struct event;
struct event_base;

namespace jaypick::daemon {

namespace internal {

template <typename Type, typename Variant>
struct IndexOf;

template <typename Type, typename... Rest>
struct IndexOf<Type, std::variant<Type, Rest...>> {
  static constexpr std::size_t kValue = 0;
};

template <typename Type, typename First, typename... Rest>
struct IndexOf<Type, std::variant<First, Rest...>> {
  static constexpr std::size_t kValue =
      1 + IndexOf<Type, std::variant<Rest...>>::kValue;
};

}  // namespace internal

// Queues messages and delivers each one, in order, to the subscribers of its
// type.
//
// A message is delivered after the callback that sent it has returned, in the
// same iteration of the event loop. If a type has several subscribers, only the
// one that the message is meant for may move from it.
class MessageBus {
 public:
  explicit MessageBus(event_base* base);
  ~MessageBus();
  MessageBus(const MessageBus&) = delete;
  MessageBus& operator=(const MessageBus&) = delete;

  template <typename Type>
  void Subscribe(std::function<void(Type&)> receiver) {
    receivers_[internal::IndexOf<Type, Message>::kValue].push_back(
        [receiver = std::move(receiver)](Message& message) {
          receiver(*std::get_if<Type>(&message));
        });
  }

  void Send(Message message);

 private:
  using Receiver = std::function<void(Message&)>;

  static void OnActive(int socket, short what, void* self);
  void Deliver();

  event* event_;
  bool is_active_ = false;
  std::vector<Message> queue_;
  std::vector<Message> delivering_;
  std::array<std::vector<Receiver>, std::variant_size_v<Message>> receivers_;
};

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_MESSAGE_BUS_H_
