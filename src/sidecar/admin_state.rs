//! Whether the operators let an endpoint be used.

use std::fmt;

/// What the operators have decided about an endpoint, whatever its list entry says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminState {
    /// It takes work as far as its list entry says so.
    Enabled,
    /// It gets no requests.
    Disabled,
}

impl AdminState {
    /// Converts from the flag that messages between processes carry.
    #[must_use]
    pub fn from_disabled(is_disabled: bool) -> Self {
        if is_disabled {
            AdminState::Disabled
        } else {
            AdminState::Enabled
        }
    }

    /// Returns whether the endpoint is disabled.
    #[must_use]
    pub fn is_disabled(self) -> bool {
        self == AdminState::Disabled
    }
}

impl fmt::Display for AdminState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AdminState::Enabled => "enabled",
            AdminState::Disabled => "disabled",
        })
    }
}
