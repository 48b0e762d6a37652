#include "decision/retrybudget.h"

#include <algorithm>

namespace Plantainweir {

void deposit(RetryBudget &budget)
{
    budget.tokens = std::min(budget.capacity, budget.tokens + budget.share);
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
