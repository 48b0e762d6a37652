#pragma once

#include "configuration/configuration.h"

/** Decides which configuration objects a member puts in force. */
namespace Plantainweir {

/**
 * Puts @p service in force if its version is higher than that in @p configuration.
 *
 * A tombstone is a version like any other and stays, so that an older object which arrives late does not revive the
 * service. Version zero means "none" and is never adopted.
 * @return whether the configuration changed.
 */
bool adopt(Configuration &configuration, const Service &service);

/** Puts @p rules in force if their version is higher; returns whether the configuration changed. */
bool adopt(Configuration &configuration, const Rules &rules);

}
