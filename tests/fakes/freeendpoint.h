#pragma once

#include "core/endpoint.h"

namespace Plantainweir {

/**
 * Returns a loopback endpoint whose TCP and UDP ports were free when it was chosen.
 *
 * The port lies below the range from which the system takes the local ports of outgoing connections, so that a connection
 * of another test cannot take it before it is used.
 */
Endpoint freeEndpoint();

}
