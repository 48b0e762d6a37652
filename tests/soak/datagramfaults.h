#pragma once

#include <cstdint>

namespace Plantainweir {

/** Name of the environment variable with the path of a file that holds DatagramFaults. */
inline constexpr auto DatagramFaultsVariable = "PLANTAINWEIR_SOAK_DATAGRAM_FAULTS";

/**
 * Faults of all datagrams that a program sends, in a file that the soak writes. The library plantainweir_datagramfaults, which the
 * soak preloads into the programs, maps the file.
 */
struct DatagramFaults {
    std::uint32_t lostPercent = 0;
    std::uint32_t repeatedPercent = 0;
    std::uint32_t delayedPercent = 0; ///< Delayed datagrams are overtaken by others.
    std::uint32_t delayMs = 0; ///< Shortest delay; it ends when the program sends the next datagram.
};

}
