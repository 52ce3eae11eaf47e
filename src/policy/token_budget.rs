//! Token budgets. Requests earn tokens; retries and health checks spend them.

/// The highest number of retries that may be saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// The highest number of health checks that may be saved up.
const MAX_SAVED_HEALTH_CHECKS: f64 = 4.0;

/// The budgets of a balancer.
#[derive(Debug)]
pub(super) struct Budgets {
    pub(super) retries: TokenBudget,
    pub(super) health_checks: TokenBudget,
}

impl Default for Budgets {
    fn default() -> Self {
        Budgets {
            retries: TokenBudget::new(MAX_SAVED_RETRIES),
            health_checks: TokenBudget::new(MAX_SAVED_HEALTH_CHECKS),
        }
    }
}

/// A bounded number of saved tokens.
#[derive(Debug)]
pub(super) struct TokenBudget {
    tokens: f64,
    max_tokens: f64,
}

impl TokenBudget {
    /// Creates an empty budget that saves up to `max_tokens`.
    fn new(max_tokens: f64) -> Self {
        TokenBudget {
            tokens: 0.0,
            max_tokens,
        }
    }

    /// Adds tokens, up to the highest number of saved tokens.
    pub(super) fn earn(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.max_tokens);
    }

    /// Returns whether a whole token can be spent.
    pub(super) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends one token.
    pub(super) fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
