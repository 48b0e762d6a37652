#pragma once

#include <cstddef>

namespace Plantainweir {

/** Returns the resident memory of this process in bytes, or zero if the system does not tell it. */
std::size_t residentBytes();

}
