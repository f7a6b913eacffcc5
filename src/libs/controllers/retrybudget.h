/// Limits retries to a fraction of the successes.
#pragma once

#include <algorithm>

namespace WisteriaHill::Controllers {

/// A token bucket: each success adds a tenth of a retry, up to a maximum. The bucket starts full. Thread safety: none.
class RetryBudget {
public:
    void recordSuccess() { this->tokens = std::min(maximumTokens, this->tokens + tokensPerSuccess); }

    /// True when a retry is allowed; it then uses one token.
    bool tryTake()
    {
        if (this->tokens < 1)
            return false;
        this->tokens -= 1;
        return true;
    }

private:
    static constexpr double tokensPerSuccess = 0.1;
    static constexpr double maximumTokens = 10;
    double tokens = maximumTokens;
};

} // namespace WisteriaHill::Controllers
