#include "fakes/residentmemory.h"

#include <QFile>

#include <unistd.h>

namespace Plantainweir {

std::size_t residentBytes()
{
    QFile file("/proc/self/statm");
    if (!file.open(QIODevice::ReadOnly)) {
        return 0;
    }
    const qlonglong pages = file.readAll().split(' ').value(1).toLongLong();
    return static_cast<std::size_t>(pages) * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

}
