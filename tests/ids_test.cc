// Formatting and parsing of job ids.
#include <criterion/criterion.h>

#include "jaypick/ids.h"

namespace jaypick {
namespace {

// Guards against an id that is changed by formatting and parsing it.
Test(ids, text_form_round_trips) {
  const JobId id{.entry = "ghent-1.a", .incarnation = {0xabc}, .counter = 42};
  cr_assert(ToString(id) == "ghent-1.a.0000000000000abc.42");
  cr_assert(ParseJobId(ToString(id)) == id);
}

// Guards against accepting two spellings of one id.
Test(ids, refuses_other_spellings) {
  for (const char* text :
       {"", ".", "e", "e.1", "e.0000000000000abc.", "e.0000000000000ABC.1",
        "e.0000000000000abc.01", "e.abc.1", ".0000000000000abc.1",
        "e.0000000000000abc.-1", "e.0000000000000abc.99999999999999999999"}) {
    cr_assert(!ParseJobId(text), "%s", text);
  }
}

}  // namespace
}  // namespace jaypick
