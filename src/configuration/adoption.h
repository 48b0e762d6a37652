#pragma once

#include "configuration/configuration.h"

/** Replacing configuration objects by newer versions. */
namespace Plantainweir {

/**
 * Replaces the service in @p configuration if @p service has a higher version.
 *
 * The tombstone of a removed service stays in the configuration, so that an older object that arrives late does not
 * restore the service. Version zero means that there is no object and is never adopted.
 * @return whether the configuration changed.
 */
bool adopt(Configuration &configuration, const Service &service);

/** Replaces the rules in @p configuration if @p rules have a higher version; returns whether the configuration changed. */
bool adopt(Configuration &configuration, const Rules &rules);

}
