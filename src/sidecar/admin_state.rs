//! The administrative state of an endpoint, which operators set.

use std::fmt;

/// The administrative state of an endpoint. It is independent of the endpoint's entry in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminState {
    /// The endpoint gets requests if its list entry allows it.
    Enabled,
    /// The endpoint gets no requests.
    Disabled,
}

impl AdminState {
    /// Converts the flag that messages between processes carry.
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
