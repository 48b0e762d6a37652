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

std::optional<std::size_t> peakResidentBytes(qint64 process)
{
    QFile file(QStringLiteral("/proc/%1/status").arg(process));
    if (!file.open(QIODevice::ReadOnly)) {
        return std::nullopt;
    }
    for (const QByteArray &line : file.readAll().split('\n')) {
        if (line.startsWith("VmHWM:")) {
            return line.mid(6).replace("kB", "").trimmed().toULongLong() * 1024;
        }
    }
    return std::nullopt;
}

}
