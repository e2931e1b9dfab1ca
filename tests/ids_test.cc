// Job ids in text form.
#include <criterion/criterion.h>

#include "jaypick/ids.h"

namespace jaypick {
namespace {

// Guards against an id that changes its identity on the way through text.
Test(ids, text_form_round_trips) {
  const JobId id{.entry = "ghent-1.a", .incarnation = {0xabc}, .counter = 42};
  cr_assert(ToString(id) == "ghent-1.a.0000000000000abc.42");
  cr_assert(ParseJobId(ToString(id)) == id);
}

// Guards against two spellings of one id, which could both be submitted.
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
