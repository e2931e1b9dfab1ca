// Commands of the command-line tool.
#ifndef JAYPICK_CLI_COMMANDS_H_
#define JAYPICK_CLI_COMMANDS_H_

#include <ostream>
#include <string>
#include <vector>

#include "cli/exit_code.h"
#include "cli/session.h"

namespace jaypick::cli {

ExitCode Submit(Session& session);
ExitCode Cancel(Session& session);
ExitCode Status(Session& session);

ExitCode ConfigCheck(Session& session);
ExitCode ConfigDiff(Session& session);
ExitCode ConfigApply(Session& session);
ExitCode ConfigShow(Session& session);

ExitCode Audit(Session& session);
ExitCode Instances(Session& session);
// Prints the log lines about one job from all given log files, sorted by time.
ExitCode Explain(Session& session);
ExitCode Version(Session& session);

// Runs one command. `words` is the command line without the program name.
ExitCode RunCommandLine(const std::vector<std::string>& words,
                        std::ostream& out,
                        std::ostream& err);

}  // namespace jaypick::cli

#endif  // JAYPICK_CLI_COMMANDS_H_
