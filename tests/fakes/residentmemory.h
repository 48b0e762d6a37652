#pragma once

#include <QtGlobal>

#include <cstddef>
#include <optional>

namespace Plantainweir {

/** Returns the resident memory of this process in bytes, or zero if the system does not tell it. */
std::size_t residentBytes();

/** Returns the largest resident memory that @p process has had, in bytes, or nothing if the system does not tell it. */
std::optional<std::size_t> peakResidentBytes(qint64 process);

}
