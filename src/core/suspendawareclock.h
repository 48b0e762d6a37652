#pragma once

#include "core/time.h"

namespace Plantainweir {

/**
 * Returns the time since the VM booted, including the time while it was suspended, which Clock does not count.
 *
 * Used for the age of knowledge about other processes. The result must not be compared with times of Clock.
 */
TimePoint suspendAwareNow();

}
