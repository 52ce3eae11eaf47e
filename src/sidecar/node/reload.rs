//! Configurations that are read again while the node runs.

use super::settings_in_force::SettingsInForce;
use super::state::NodeHandle;
use crate::configuration::Config;
use crate::discovery::SourceChange;
use crate::policy::{Event, SettingsError};

/// Why a configuration is not taken over.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// A key is missing that was there, as in a file that was cut off.
    #[error("{0} is missing, which was there before")]
    MissingKey(String),
    /// The settings make no sense.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

impl NodeHandle {
    /// Takes over what the configuration now says, as far as a running process can. A discovery that has moved is asked at
    /// once; until it has spoken the one before is listened to. `known` is not taken over: what has been told since the
    /// start is fresher.
    ///
    /// # Errors
    /// What is wrong with it; then nothing of it is taken over.
    pub fn reload(&self, config: Config) -> Result<(), ReloadError> {
        let changed = self.change_settings(&config)?;
        self.borrow().metrics.reloads += 1;
        let source_change = self.move_discovery(&config);
        let fixed = self
            .borrow()
            .fixed
            .differences(&config.restart_values)
            .join(", ");
        let discovery = match source_change {
            SourceChange::Moved => format!("moves to {}", config.discovery),
            SourceChange::Unchanged => "stays".into(),
        };
        let restart = if fixed.is_empty() {
            String::new()
        } else {
            format!("; only a restart takes over: {fixed}")
        };
        let settings = if changed.is_empty() {
            "stay".into()
        } else {
            format!("change in {}", changed.join(", "))
        };
        log!("configuration read again: discovery {discovery}, settings {settings}{restart}");
        Ok(())
    }

    fn move_discovery(&self, config: &Config) -> SourceChange {
        let mut node = self.borrow();
        let change = node.subscription.move_to(config.discovery);
        if change == SourceChange::Moved {
            node.begin_watch(self);
        }
        change
    }

    /// Goes on with the settings of a configuration, and returns the names of those that have changed.
    fn change_settings(&self, config: &Config) -> Result<Vec<String>, ReloadError> {
        let mut node = self.borrow();
        if let Some(key) = config.missing_key(&node.document) {
            return Err(ReloadError::MissingKey(key));
        }
        let changed = config.changed_settings(&node.document);
        if changed.is_empty() {
            return Ok(changed);
        }
        let (now, mut actions) = (node.clock.now(), Vec::new());
        let settings = config.settings.clone();
        let classes = node
            .balancer
            .change_settings(now, settings.clone(), &mut actions)?;
        let follows_anew = node.settings.current().discovery != settings.discovery;
        node.pool.change_limits(&settings.limits);
        node.metrics
            .add_classes(settings.classes.iter().map(|class| class.name.as_str()));
        node.settings.replace(SettingsInForce { settings, classes });
        node.document = config.settings_and_limits.clone();
        for action in actions {
            node.carry_out(self, action);
        }
        if follows_anew {
            node.begin_watch(self);
        }
        drop(node);
        self.handle(Event::Timer { token: 0 }); // what carrying out has brought goes on to the module
        Ok(changed)
    }
}
