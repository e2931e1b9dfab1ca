// `jaypick explain`: log lines about one job from the logs of several
// instances.
#include <algorithm>
#include <fstream>
#include <iostream>
#include <istream>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cli/commands.h"

namespace jaypick::cli {
namespace {

using nlohmann::ordered_json;

struct LogLine {
  std::int64_t time_unix_ms = 0;
  std::string source;
  ordered_json fields;
};

// Reads the log lines about job `id`. The JSON object of a line may follow a
// prefix, such as a time or the name of an instance.
void ReadLines(std::istream& input,
               const std::string& source,
               const std::string& id,
               std::vector<LogLine>& lines) {
  std::string text;
  while (std::getline(input, text)) {
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos || text.find(id) == std::string::npos) {
      continue;
    }
    ordered_json fields =
        ordered_json::parse(text.substr(begin), nullptr, false);
    const bool is_about_job = fields.is_object() && fields.contains("event") &&
                              fields.contains("id") && fields["id"] == id;
    if (is_about_job) {
      std::string line_source = source;
      if (begin > 0) {
        line_source += ' ';
        line_source += text.substr(0, begin);
      }
      const std::int64_t time = fields.value("time_unix_ms", std::int64_t{0});
      lines.push_back({.time_unix_ms = time,
                       .source = std::move(line_source),
                       .fields = std::move(fields)});
    }
  }
}

void Print(const LogLine& line, std::ostream& out) {
  out << line.time_unix_ms << "  " << line.source << "  "
      << line.fields["event"].get<std::string>() << '\n';
  for (const auto& [name, value] : line.fields.items()) {
    if (name == "event" || name == "id" || name == "time_unix_ms") {
      continue;
    }
    std::string text =
        value.is_string() ? value.get<std::string>() : value.dump();
    if (name == "trace") {
      for (std::size_t position = text.find("; ");
           position != std::string::npos;
           position = text.find("; ", position)) {
        text.replace(position, 2, "\n      ");
      }
      text.insert(0, "\n      ");
    }
    out << "    " << name << ": " << text << '\n';
  }
}

}  // namespace

ExitCode Explain(Session& session) {
  const std::string& id = session.arguments().positional.front();
  std::vector<LogLine> lines;
  const auto& files = session.arguments().logs;
  if (files.empty()) {
    ReadLines(std::cin, "-", id, lines);
  }
  for (const std::string& name : files) {
    std::ifstream file(name);
    if (!file) {
      session.err() << "jaypick explain: " << name << ": cannot be read\n";
      return ExitCode::kInvalid;
    }
    ReadLines(file, name, id, lines);
  }
  // Stable, so that lines with equal times keep their order within a file.
  // Lines of different instances may be out of order, because their clocks
  // differ.
  std::ranges::stable_sort(lines, {}, &LogLine::time_unix_ms);
  if (lines.empty()) {
    session.err() << "jaypick explain: no log line is about " << id
                  << "; completed jobs are not logged individually\n";
    return ExitCode::kRefused;
  }
  for (const LogLine& line : lines) {
    Print(line, session.out());
  }
  return ExitCode::kOk;
}

}  // namespace jaypick::cli
