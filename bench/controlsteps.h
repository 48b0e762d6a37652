#pragma once

#include <QJsonArray>

namespace Plantainweir {

/** Measures single steps of membership and distribution with tables up to the target size. */
QJsonArray measureControlSteps();

}
