#pragma once

#include "core/endpoint.h"

namespace Plantainweir {

/**
 * Returns a loopback endpoint whose TCP and UDP ports are free, and reserves its TCP port for a server of this process or of
 * one that it starts.
 *
 * No later call in any process returns a reserved port; servers must set SO_REUSEADDR to listen on it. The port lies below the
 * range from which the system takes the local ports of outgoing connections, so that a connection cannot take it. The 256
 * latest reservations of a process are kept.
 */
Endpoint freeEndpoint();

}
