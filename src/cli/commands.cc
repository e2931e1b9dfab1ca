#include "cli/commands.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <variant>

namespace jaypick::cli {
namespace {

struct Command {
  std::string_view name;
  std::string_view arguments;
  std::string_view help;
  std::vector<std::string_view> flags;
  // Number of positional arguments.
  std::size_t positional = 0;
  ExitCode (*run)(Session&) = nullptr;
};

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"submit",
       "JOB_FILE",
       "Submits a job and prints its results. JOB_FILE holds JSON: "
       "{\"owner\",\n"
       "\"service\", \"kind\", \"timeout_ms\" (optional), \"tasks\": [payload, "
       "...]}.\n"
       "If the connection is lost, the job is submitted again under the same "
       "id,\n"
       "so that no task starts twice.",
       {"entry", "id", "async", "json"},
       1,
       Submit},
      {"cancel",
       "JOB_ID",
       "Cancels a job. Queued tasks are no longer started.",
       {"entry", "owner", "json"},
       1,
       Cancel},
      {"status",
       "JOB_ID",
       "Prints whether a job is running, and its results when it has ended.",
       {"entry", "owner", "wait", "json"},
       1,
       Status},
      {"config check",
       "SHEET",
       "Prints all findings of a sheet. With --operator, also prints what it "
       "would change.",
       {"operator", "token_file", "json"},
       1,
       ConfigCheck},
      {"config diff",
       "SHEET",
       "Prints what a sheet would change for each owner, service and kind.",
       {"operator", "token_file", "json"},
       1,
       ConfigDiff},
      {"config apply",
       "SHEET",
       "Prints what a sheet changes and puts it in force. If the base version "
       "is\n"
       "no longer the current one, nothing is changed and the difference is "
       "printed.\n"
       "With --wait, returns when every live entry reports the new version.",
       {"operator", "token_file", "author", "operation_id", "base_version",
        "wait", "wait_timeout_ms", "json"},
       1,
       ConfigApply},
      {"config show",
       "",
       "Prints the configuration in force at the entry.",
       {"operator", "token_file", "json"},
       0,
       ConfigShow},
      {"explain",
       "JOB_ID",
       "Prints the log lines of instances about a job: the decisions and\n"
       "their inputs. Without --logs, reads standard input.",
       {"logs"},
       1,
       Explain},
      {"audit",
       "",
       "Prints accepted and refused changes, newest first.",
       {"operator", "token_file", "limit", "json"},
       0,
       Audit},
      {"instances",
       "",
       "Prints entries with their configuration versions, and upstreams.",
       {"operator", "token_file", "json"},
       0,
       Instances},
      {"version", "", "Prints the version of this tool.", {"json"}, 0, Version},
  };
  return commands;
}

void PrintOverview(std::ostream& stream) {
  stream << "Usage: jaypick COMMAND [ARGUMENT] [--flag=value ...]\n\n";
  for (const Command& command : Commands()) {
    stream << "  " << command.name;
    if (!command.arguments.empty()) {
      stream << " " << command.arguments;
    }
    stream << '\n';
  }
  stream << "\n\"jaypick COMMAND --help\" describes a command.\n"
            "Exit codes: 0 ok, 1 refused or failed, 2 wrong usage or invalid\n"
            "input, 3 unreachable or outcome not known.\n";
}

void PrintHelp(const Command& command, std::ostream& stream) {
  stream << "Usage: jaypick " << command.name << " " << command.arguments
         << "\n\n"
         << command.help << "\n\n";
  for (const std::string_view flag : command.flags) {
    stream << "  --" << flag << ": " << FlagHelp(flag) << '\n';
  }
}

// The command whose name is at the beginning of `words`, or null.
const Command* FindCommand(const std::vector<std::string>& words) {
  for (const Command& command : Commands()) {
    const std::size_t space = command.name.find(' ');
    const bool has_subcommand = space != std::string_view::npos;
    if (words.size() < (has_subcommand ? 2U : 1U)) {
      continue;
    }
    const std::string name =
        has_subcommand ? words[0] + " " + words[1] : words[0];
    if (name == command.name) {
      return &command;
    }
  }
  return nullptr;
}

bool IsHelp(const std::string& word) {
  return word == "--help" || word == "-h" || word == "help";
}

ExitCode RunCommand(const Command& command,
                    const std::vector<std::string>& words,
                    std::ostream& out,
                    std::ostream& err) {
  if (std::ranges::any_of(words, IsHelp)) {
    PrintHelp(command, out);
    return ExitCode::kOk;
  }
  auto parsed = ParseArguments(words, command.flags);
  if (const auto* const error = std::get_if<UsageError>(&parsed)) {
    err << "jaypick " << command.name << ": " << error->message << '\n';
    return ExitCode::kInvalid;
  }
  auto& arguments = std::get<Arguments>(parsed);
  if (arguments.positional.size() != command.positional) {
    err << "jaypick " << command.name << ": expected " << command.positional
        << " argument(s), found " << arguments.positional.size() << '\n';
    PrintHelp(command, err);
    return ExitCode::kInvalid;
  }
  Session session(std::move(arguments), out, err);
  return command.run(session);
}

}  // namespace

ExitCode RunCommandLine(const std::vector<std::string>& words,
                        std::ostream& out,
                        std::ostream& err) {
  const Command* const command = FindCommand(words);
  if (command != nullptr) {
    const auto length = std::ranges::count(command->name, ' ') + 1;
    return RunCommand(*command, {words.begin() + length, words.end()}, out,
                      err);
  }
  if (!words.empty() && IsHelp(words.front())) {
    PrintOverview(out);
    return ExitCode::kOk;
  }
  if (!words.empty()) {
    err << "jaypick: unknown command \"" << words.front() << "\"\n";
  }
  PrintOverview(err);
  return ExitCode::kInvalid;
}

ExitCode Version(Session& session) {
  if (session.arguments().json) {
    session.out() << ToJsonLine({{"version", JAYPICK_VERSION}}) << '\n';
  } else {
    session.out() << "jaypick " << JAYPICK_VERSION << '\n';
  }
  return ExitCode::kOk;
}

}  // namespace jaypick::cli
