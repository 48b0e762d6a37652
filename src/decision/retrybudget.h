#pragma once

/** Bounds repeated attempts to a share of the first ones, so that retries never multiply an overload. */
namespace Plantainweir {

/** A bucket of tokens that each new call fills a little and each repeated attempt empties by one. */
struct RetryBudget {
    double tokensPerCall = 0.1; ///< Tokens for each new call.
    double capacity = 20.0; ///< Tokens at most, and at the start.
    double tokens = 20.0;
};

/** Adds the share of one new call. */
void deposit(RetryBudget &budget);

/** Adds @p tokens, up to the capacity. */
void deposit(RetryBudget &budget, double tokens);

/** Takes one token; returns whether there was one. */
bool withdraw(RetryBudget &budget);

}
