//! The settings that requests come under, while a reload may change them.

use crate::policy::{ClassId, Settings};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// What comes so long after a reload may have been sent before it.
const LATE: Duration = Duration::from_secs(1);

/// Settings, and the module's ids of their classes, in their order.
pub struct SettingsInForce {
    /// The settings.
    pub settings: Settings,
    /// The ids.
    pub classes: Vec<ClassId>,
}

/// The settings in force, and those before the last reload.
pub struct SettingsHistory {
    current: Rc<SettingsInForce>,
    before: Option<ReplacedSettings>,
}

struct ReplacedSettings {
    settings: Rc<SettingsInForce>,
    replaced_at: Instant,
}

/// The settings that a request may have come under.
pub struct SettingsOfRequest {
    /// Those in force.
    pub current: Rc<SettingsInForce>,
    /// Those before, for a while.
    pub before: Option<Rc<SettingsInForce>>,
}

impl SettingsHistory {
    /// With the settings of the start.
    pub fn new(settings: Settings) -> Self {
        let classes = (0..settings.classes.len()).map(ClassId).collect();
        SettingsHistory {
            current: Rc::new(SettingsInForce { settings, classes }),
            before: None,
        }
    }

    /// The settings in force.
    pub fn current(&self) -> &Settings {
        &self.current.settings
    }

    /// Replaces them.
    pub fn replace(&mut self, settings: SettingsInForce) {
        let replaced = std::mem::replace(&mut self.current, Rc::new(settings));
        self.before = Some(ReplacedSettings {
            settings: replaced,
            replaced_at: Instant::now(),
        });
    }

    /// The settings for a request whose first byte came at an instant.
    pub fn for_request(&self, begun: Instant) -> SettingsOfRequest {
        let before = self
            .before
            .as_ref()
            .filter(|before| begun < before.replaced_at + LATE);
        SettingsOfRequest {
            current: self.current.clone(),
            before: before.map(|before| before.settings.clone()),
        }
    }
}
