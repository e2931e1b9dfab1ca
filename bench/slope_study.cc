#include "bench/study.h"
namespace jaypick::bench {
void RunSlopeStudy(const StudyOptions&) {}
}  // namespace jaypick::bench
