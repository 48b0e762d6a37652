#pragma once

#include "decision/routingstate.h"

#include "control.pb.h"

namespace Plantainweir {

/** Decodes an update from controld; malformed parts are skipped and counted in @p malformedParts. */
RoutingUpdate fromMessage(const plantainweir::control::v1::ControlUpdate &message, int &malformedParts);

}
