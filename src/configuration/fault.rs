//! What is wrong with a configuration.

use std::fmt;

/// One thing that is wrong with a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Where it is in the document, as `settings.categories[0].priority_weight`; empty for the document itself.
    pub path: String,
    /// What was found there, and what is allowed.
    pub problem: String,
}

/// All that is wrong with a configuration; never empty.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() {
            "the document"
        } else {
            &self.path
        };
        write!(f, "{path}: {}", self.problem)
    }
}

/// All of them on one line.
impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, fault) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { "; " };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}
