#include "bench/study.h"
namespace jaypick::bench {
void RunCaseStudy(const StudyOptions&) {}
}  // namespace jaypick::bench
