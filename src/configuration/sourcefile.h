#pragma once

#include "core/result.h"

#include <cstddef>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

/** Files that operators write, and their faults. */
namespace Plantainweir {

/** No larger file is read. */
inline constexpr std::size_t MaximumSourceFileBytes = 16 * 1024 * 1024;

/** One fault of a file. */
struct FileError {
    std::string file;
    std::size_t line = 0; ///< From 1; zero if the fault is the whole file's.
    std::string message; ///< Names the value and what is allowed.
    bool operator==(const FileError &) const = default;
};

/** Every fault of a file, in the order of lines; the error object of the readers of files. */
struct FileErrors {
    std::vector<FileError> list;
};

/** Writes @p fault as `file:line: message`. */
std::string toString(const FileError &error);

/** Returns the content of the file @p path; fails with FileErrors. */
Result<std::string> readSourceFile(const std::string &path);

/** Returns the failure of a Result with @p faults attached, sorted by line. */
leaf::error_id fileFailure(std::vector<FileError> errors);

/** Returns the value of @p operation(), or nothing after it has added its faults to @p faults. */
template<typename Operation>
auto collectErrors(Operation &&operation, std::vector<FileError> &errors)
{
    using Value = std::optional<std::decay_t<decltype(operation().value())>>;
    return leaf::try_handle_all(
        [&operation]() -> Result<Value> {
            BOOST_LEAF_AUTO(value, operation());
            return Value(std::move(value));
        },
        [&errors](const FileErrors &found) {
            errors.insert(errors.end(), found.list.begin(), found.list.end());
            return Value();
        },
        [&errors] {
            errors.push_back({.file = {}, .line = 0, .message = "unknown fault"});
            return Value();
        });
}

}
