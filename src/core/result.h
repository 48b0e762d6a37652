#pragma once

#include <boost/leaf.hpp>

#include <string>

/** Expected failures are values: functions that can fail return `Result<T>` and attach an `Error`. */
namespace Plantainweir {

namespace leaf = boost::leaf;

template<typename T>
using Result = leaf::result<T>;

/** What went wrong, for a person: names the input, its value and what is allowed. */
struct Error {
    std::string message;
};

/** Returns the failure of a Result with @p message attached. */
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
