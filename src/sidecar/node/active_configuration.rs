//! The configuration in force, and the settings that were replaced by the last reload.

use crate::configuration::{Config, ReloadBaseline, RestartValues};
use crate::policy::{ClassId, Settings};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The time after a reload for which arriving requests may still have been sent under the replaced settings.
const RELOAD_GRACE: Duration = Duration::from_secs(1);

/// Settings, with the ids that the balancer has given their request classes.
#[derive(Debug)]
pub struct ResolvedSettings {
    /// The settings.
    pub values: Settings,
    /// The ids of the classes, in the order of the settings.
    pub class_ids: Vec<ClassId>,
}

/// The parts of the configuration in force that a reload replaces or compares with those of the next configuration.
pub struct ActiveConfiguration {
    settings: Rc<ResolvedSettings>,
    replaced: Option<ReplacedSettings>,
    /// The settings and limits as the file in force states them, with which those of the next file are compared.
    reload_baseline: ReloadBaseline,
    /// The values that only a restart changes.
    restart_values: RestartValues,
}

struct ReplacedSettings {
    settings: Rc<ResolvedSettings>,
    replaced_at: Instant,
}

/// The settings under which a request may have been sent, depending on whether it was sent before the last reload.
#[derive(Debug)]
pub struct CandidateSettings {
    /// The settings in force.
    pub current: Rc<ResolvedSettings>,
    /// The settings before the last reload. Set for a request whose first byte arrived before the reload or within
    /// [`RELOAD_GRACE`] after it.
    pub previous: Option<Rc<ResolvedSettings>>,
}

impl ActiveConfiguration {
    /// Creates it from the configuration with which the process starts.
    pub fn new(
        values: Settings,
        reload_baseline: ReloadBaseline,
        restart_values: RestartValues,
    ) -> Self {
        let class_ids = (0..values.classes.len()).map(ClassId).collect();
        ActiveConfiguration {
            settings: Rc::new(ResolvedSettings { values, class_ids }),
            replaced: None,
            reload_baseline,
            restart_values,
        }
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings.values
    }

    /// Returns the settings that may apply to a request whose first byte arrived at `first_byte_at`.
    pub fn settings_for_request(&self, first_byte_at: Instant) -> CandidateSettings {
        let replaced = self
            .replaced
            .as_ref()
            .filter(|replaced| first_byte_at < replaced.replaced_at + RELOAD_GRACE);
        CandidateSettings {
            current: self.settings.clone(),
            previous: replaced.map(|replaced| replaced.settings.clone()),
        }
    }

    /// Returns the first key that the file had and the next configuration lacks.
    pub fn missing_key(&self, next: &Config) -> Option<String> {
        self.reload_baseline.missing_key(&next.reload_baseline)
    }

    /// Returns the names of the settings that the next configuration changes.
    pub fn changed_settings(&self, next: &Config) -> Vec<String> {
        self.reload_baseline.changed_settings(&next.reload_baseline)
    }

    /// Returns the names of the values that differ in the next configuration and that only a restart changes.
    pub fn restart_only_changes(&self, next: &Config) -> Vec<&'static str> {
        self.restart_values.differences(&next.restart_values)
    }

    /// Replaces the settings by those of the next configuration. `class_ids` are the balancer's ids of its request
    /// classes.
    pub fn replace_settings(&mut self, next: &Config, class_ids: Vec<ClassId>) {
        let settings = Rc::new(ResolvedSettings {
            values: next.settings.clone(),
            class_ids,
        });
        self.replaced = Some(ReplacedSettings {
            settings: std::mem::replace(&mut self.settings, settings),
            replaced_at: Instant::now(),
        });
        self.reload_baseline = next.reload_baseline.clone();
    }
}
