#pragma once

#include "decision/routingstate.h"

#include "control.pb.h"

namespace Plantainweir {

/** Reads an update from controld; parts that are malformed are left out and counted in @p malformedParts. */
RoutingUpdate fromMessage(const plantainweir::control::v1::ControlUpdate &message, int &malformedParts);

}
