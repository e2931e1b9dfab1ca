// Plug-ins and how they register themselves.
#ifndef JAYPICK_DAEMON_PLUG_IN_H_
#define JAYPICK_DAEMON_PLUG_IN_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace jaypick::daemon {

class Kernel;

// A part of the process that owns its sockets and state. Plug-ins exchange
// messages through the kernel's mailbox.
class PlugIn {
 public:
  virtual ~PlugIn() = default;

  // Called once, when all plug-ins exist and before the loop runs.
  virtual void Start() {}

  // Called when the last job has ended: take no more connections.
  virtual void StopAccepting() {}

  // Calls whose answers have not been written completely. The process does not
  // end before all plug-ins report 0.
  virtual std::size_t open_calls() const { return 0; }
};

using PlugInFactory = std::function<std::unique_ptr<PlugIn>(Kernel&)>;

// Adds a plug-in to the registry, as a static object in the plug-in's source:
//
//   const PlugInRegistration kRegistration(
//       "dispatcher", [](Kernel& kernel) -> std::unique_ptr<PlugIn> {
//         return std::make_unique<DispatcherPlugIn>(kernel);
//       });
class PlugInRegistration {
 public:
  PlugInRegistration(std::string name, PlugInFactory factory);

  // All registered plug-ins by name.
  static const std::map<std::string, PlugInFactory>& registry();

 private:
  static std::map<std::string, PlugInFactory>& MutableRegistry();
};

// Registers `Type` under `name`.
template <typename Type>
PlugInRegistration Register(std::string name) {
  return {std::move(name), [](Kernel& kernel) -> std::unique_ptr<PlugIn> {
            return std::make_unique<Type>(kernel);
          }};
}

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_PLUG_IN_H_
