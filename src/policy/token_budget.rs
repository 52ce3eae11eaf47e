//! Tokens that requests pay for and that are spent on something else.

/// A bounded amount of saved tokens.
pub(super) struct TokenBudget {
    tokens: f64,
    most: f64,
}

impl TokenBudget {
    /// Nothing saved yet, and at most so much later.
    pub(super) fn new(most: f64) -> Self {
        TokenBudget { tokens: 0.0, most }
    }

    pub(super) fn earn(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.most);
    }

    pub(super) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    pub(super) fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
