// Tests of parsing the operators' sheet.
#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>

#include "jaypick/sheet.h"

namespace jaypick {
namespace {

namespace fs = std::filesystem;

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  cr_assert(file.good(), "run from the repository: %s", path.c_str());
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string Text(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    text += ToString(finding) + '\n';
  }
  return text;
}

std::string ReplaceAll(std::string text, std::string from, std::string to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

ConfigurationContent Content(const std::string& text) {
  const auto sheet = ParseSheet(text, "sheet.csv");
  if (const auto* findings = std::get_if<Findings>(&sheet)) {
    cr_assert(false, "%s", Text(*findings).c_str());
  }
  return std::get<ConfigurationContent>(sheet);
}

// Guards against an error in a sheet that is not reported, is reported at the
// wrong location, or is reported only after other errors have been corrected.
Test(sheet, bad_sheets_have_exactly_the_expected_findings) {
  std::size_t count = 0;
  for (const auto& entry : fs::directory_iterator("examples/bad-sheets")) {
    if (entry.path().extension() != ".csv") {
      continue;
    }
    const auto sheet =
        ParseSheet(ReadFile(entry.path()), entry.path().filename().string());
    cr_assert(std::holds_alternative<Findings>(sheet), "%s",
              entry.path().c_str());
    fs::path expected = entry.path();
    expected.replace_extension(".findings");
    const std::string found = Text(std::get<Findings>(sheet));
    cr_expect(found == ReadFile(expected), "%s:\n%s", entry.path().c_str(),
              found.c_str());
    ++count;
  }
  cr_assert(count >= 20);
}

// Guards against a cell that is lost or altered in the parsed content.
Test(sheet, reads_all_cells) {
  const auto content = Content(ReadFile("examples/wig-banks/sheet.csv"));
  cr_assert(content.services == std::vector<Service>{{"fitting"}});
  cr_assert(content.kinds.size() == 3);
  const Kind match{.service = "fitting",
                   .name = "match-wig",
                   .idempotent = true,
                   .default_timeout = std::chrono::seconds(10),
                   .declared_run_time = std::chrono::milliseconds(600),
                   .needs = {.cpus = 4, .memory_mb = 4096, .accelerators = 0},
                   .queue_limit = 20000};
  cr_assert(content.kinds[0] == match);
  cr_assert(!content.kinds[2].idempotent);
  cr_assert(content.shares ==
            (std::vector<Share>{{"fitting", "ghent-bank", 60},
                                {"fitting", "antwerp-bank", 40}}));
}

// Guards against a CSV dialect that some spreadsheet exports but the parser
// does not accept.
Test(sheet, reads_every_csv_dialect_that_spreadsheets_export) {
  const std::string plain = ReadFile("examples/order-desk/sheet.csv");
  const auto content = Content(plain);
  cr_assert(content.kinds.size() == 4);
  const std::string crlf = ReplaceAll(plain, "\n", "\r\n");
  const std::string quoted =
      "\"" + ReplaceAll(ReplaceAll(plain, ",", "\",\""), "\n", "\"\n\"") + "\"";
  for (const std::string& text :
       {crlf, "\xEF\xBB\xBF" + crlf, ReplaceAll(crlf, ",", ";"),
        ReplaceAll(plain, "\n", "\r"), plain + ",,,,,,,,,,,\n\n\r\n",
        plain.substr(0, plain.size() - 1), quoted,
        ReplaceAll(plain, ",,,,,,,,,,\n", "\n")}) {
    cr_assert(Content(text) == content, "%s", text.c_str());
  }
}

// Guards against a parser that depends on the order of columns.
Test(sheet, columns_may_come_in_any_order) {
  std::istringstream lines(ReadFile("examples/wig-banks/sheet.csv"));
  std::string swapped;
  for (std::string line; std::getline(lines, line);) {
    const std::size_t cut = line.rfind(',');
    swapped += line.substr(cut + 1) + "," + line.substr(0, cut) + "\n";
  }
  cr_assert(Content(swapped) ==
            Content(ReadFile("examples/wig-banks/sheet.csv")));
}

// Guards against a corrupt sheet that crashes the process or gives a finding
// without a row number.
Test(sheet, corrupt_sheets_are_parsed_or_reported) {
  const std::string plain = ReadFile("examples/order-desk/sheet.csv");
  const std::string bytes = "\",;\r\n\t \xC3\xFF\xE2" + std::string(1, '\0');
  std::mt19937 random(20261204);
  for (int i = 0; i < 5000; ++i) {
    std::string text = plain;
    for (int changes = 1 + static_cast<int>(random() % 4); changes > 0;
         --changes) {
      text[random() % text.size()] = bytes[random() % bytes.size()];
    }
    const auto sheet = ParseSheet(text, "sheet.csv");
    if (const auto* findings = std::get_if<Findings>(&sheet)) {
      cr_assert(!findings->empty());
      for (const Finding& finding : *findings) {
        cr_assert(finding.location.line >= 1);
      }
    }
  }
}

}  // namespace
}  // namespace jaypick
