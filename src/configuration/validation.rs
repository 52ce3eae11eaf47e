//! The errors of an invalid configuration.

use std::fmt;

/// One error in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ValidationError {
    /// The path of the value in the file, such as `settings.categories[0].worth`. Empty for an error of the whole file.
    pub path: String,
    /// The reason why the value is invalid.
    pub message: String,
}

/// The errors in a configuration. There is at least one.
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
