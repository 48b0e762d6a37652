#pragma once

/** Limits retries to a share of the calls, so that retries do not amplify an overload. */
namespace Plantainweir {

/** A token bucket. Each new call adds a fraction of a token, each retry takes one token. */
struct RetryBudget {
    double tokensPerCall = 0.1; ///< Added for each new call.
    double capacity = 20.0; ///< Maximum number of tokens.
    double tokens = 20.0; ///< Current number of tokens. The bucket is full initially unless its owner sets it.
};

/** Adds RetryBudget::tokensPerCall for one new call. */
void deposit(RetryBudget &budget);

/** Adds @p tokens, up to the capacity. */
void deposit(RetryBudget &budget, double tokens);

/** Removes one token. Returns false if there was none. */
bool withdraw(RetryBudget &budget);

}
