// Includes the public headers of the dispatching library.
#ifndef JAYPICK_JAYPICK_H_
#define JAYPICK_JAYPICK_H_

#include "jaypick/configuration.h"
#include "jaypick/dispatcher.h"
#include "jaypick/forward_declarations.h"
#include "jaypick/ids.h"
#include "jaypick/instance.h"
#include "jaypick/job.h"
#include "jaypick/messages.h"
#include "jaypick/placement.h"
#include "jaypick/source_location.h"
#include "jaypick/time.h"

#endif  // JAYPICK_JAYPICK_H_
