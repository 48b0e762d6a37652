#pragma once

#include "core/result.h"

#include <cstddef>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

/** Reading of files that operators write, with errors by file and line. */
namespace Plantainweir {

/** Maximum size of a file that is read. */
inline constexpr std::size_t MaximumSourceFileBytes = 16 * 1024 * 1024;

/** One error in a file. */
struct FileError {
    std::string file;
    std::size_t line = 0; ///< Line number from 1; zero if the error concerns the whole file.
    std::string message; ///< Contains the value and the allowed values.
    bool operator==(const FileError &) const = default;
};

/** All errors in a file, sorted by line: the error object of a failed Result of the parsers. */
struct FileErrors {
    std::vector<FileError> list;
};

/** Formats @p error as `file:line: message`. */
std::string toString(const FileError &error);

/** Returns the content of the file @p path; fails with FileErrors. */
Result<std::string> readSourceFile(const std::string &path);

/** Returns a failed Result with @p errors attached, sorted by line. */
leaf::error_id fileFailure(std::vector<FileError> errors);

/** Returns the value of @p operation(); if it fails, adds its errors to @p errors and returns nothing. */
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
            errors.push_back({.file = {}, .line = 0, .message = "unknown error"});
            return Value();
        });
}

}
