// Interface and registration of plug-ins.
#ifndef JAYPICK_DAEMON_PLUG_IN_H_
#define JAYPICK_DAEMON_PLUG_IN_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace jaypick::daemon {

class Kernel;

// A component of the process that owns its sockets and state. Plug-ins
// communicate only through messages on the kernel's message bus.
class PlugIn {
 public:
  virtual ~PlugIn() = default;

  // Called once, after all plug-ins have been created and before the event loop
  // runs.
  virtual void Start() {}

  // Called when the last job of a drain has ended. The plug-in must close its
  // listening sockets.
  virtual void StopAccepting() {}

  // Number of calls whose responses have not been written completely. The
  // process does not exit until all plug-ins report 0.
  virtual std::size_t open_calls() const { return 0; }
};

using PlugInFactory = std::function<std::unique_ptr<PlugIn>(Kernel&)>;

// Adds a plug-in to the registry. Defined as a static object in the plug-in's
// source file:
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
