#include "configuration/sourcefile.h"

#include <QFile>

#include <fmt/format.h>

#include <algorithm>

namespace Plantainweir {

std::string toString(const FileError &error)
{
    return error.line == 0 ? fmt::format("{}: {}", error.file, error.message) : fmt::format("{}:{}: {}", error.file, error.line, error.message);
}

Result<std::string> readSourceFile(const std::string &path)
{
    QFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::ReadOnly)) {
        return fileFailure({{.file = path, .line = 0, .message = fmt::format("the file cannot be read: {}", file.errorString().toStdString())}});
    }
    const QByteArray bytes = file.read(MaximumSourceFileBytes + 1);
    if (static_cast<std::size_t>(bytes.size()) > MaximumSourceFileBytes) {
        return fileFailure({{.file = path, .line = 0, .message = fmt::format("the file is too large; allowed: at most {} bytes", MaximumSourceFileBytes)}});
    }
    return bytes.toStdString();
}

leaf::error_id fileFailure(std::vector<FileError> errors)
{
    std::stable_sort(errors.begin(), errors.end(), [](const FileError &left, const FileError &right) {
        return left.line < right.line;
    });
    return leaf::new_error(FileErrors{std::move(errors)});
}

}
