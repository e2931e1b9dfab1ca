// Exit codes of the command-line tool.
#ifndef JAYPICK_CLI_EXIT_CODE_H_
#define JAYPICK_CLI_EXIT_CODE_H_

namespace jaypick::cli {

enum class ExitCode {
  kOk = 0,
  // The request was refused, or the job failed.
  kRefused = 1,
  // Wrong usage, or invalid input such as a sheet with findings.
  kInvalid = 2,
  // No instance responded, or the outcome is unknown.
  kUnreachable = 3,
};

}  // namespace jaypick::cli

#endif  // JAYPICK_CLI_EXIT_CODE_H_
