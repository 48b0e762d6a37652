#include "decision/retrybudget.h"

#include <algorithm>

namespace Plantainweir {

void deposit(RetryBudget &budget)
{
    deposit(budget, budget.tokensPerCall);
}

void deposit(RetryBudget &budget, double tokens)
{
    budget.tokens = std::min(budget.capacity, budget.tokens + tokens);
}

bool withdraw(RetryBudget &budget)
{
    if (budget.tokens < 1.0) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

}
