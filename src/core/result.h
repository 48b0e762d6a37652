#pragma once

#include <boost/leaf.hpp>

#include <string>

/** Error handling without exceptions: functions that can fail return `Result<T>` with an attached `Error`. */
namespace Plantainweir {

namespace leaf = boost::leaf;

template<typename T>
using Result = leaf::result<T>;

/** An error message for people, with the input, its value and the allowed values. */
struct Error {
    std::string message;
};

/** Returns a failed Result with @p message attached. */
inline leaf::error_id failure(std::string message)
{
    return leaf::new_error(Error{std::move(message)});
}

/** Returns the value of @p operation(), or calls @p onError(const Error &) and returns its value. */
template<typename Operation, typename OnError>
auto valueOr(Operation &&operation, OnError &&onError)
{
    return leaf::try_handle_all(
        std::forward<Operation>(operation),
        [&onError](const Error &error) {
            return onError(error);
        },
        [&onError] {
            return onError(Error{"unknown error"});
        });
}

}
