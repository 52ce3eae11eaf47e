//! The errors of an invalid configuration.

use std::fmt;

/// One error in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ValidationError {
    /// The path in the document, such as `settings.categories[0].worth`; empty for the document itself.
    pub path: String,
    /// The value found there and the values allowed.
    pub message: String,
}

/// The errors in a configuration; never empty.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ValidationErrors(pub Vec<ValidationError>);

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() {
            "the document"
        } else {
            &self.path
        };
        write!(f, "{path}: {}", self.message)
    }
}

/// Writes all errors on one line.
impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, error) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { "; " };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}
