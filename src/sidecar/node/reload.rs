//! Reload of the configuration while the node runs.

use super::state::{Node, NodeHandle};
use crate::configuration::Config;
use crate::discovery::SourceChange;
use crate::policy::{Event, SettingsError};
use std::net::SocketAddr;

/// The reason why a configuration is not applied.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// A key that the file had before is missing, for example because the file is truncated.
    #[error("{0} is missing, which was there before")]
    MissingKey(String),
    /// The balancer cannot work with the settings.
    #[error("invalid settings: {0}")]
    Settings(#[source] SettingsError),
}

impl NodeHandle {
    /// Applies the parts of a configuration that a running process can change, or none of them on an error.
    ///
    /// If discovery has moved, the new service is watched at once. The previous one is watched too until the new one
    /// has sent a list. The cached list of the configuration is ignored, because the lists received since the start are
    /// newer.
    ///
    /// # Errors
    /// A key is missing, or the settings are invalid.
    pub fn reload(&self, config: &Config) -> Result<(), ReloadError> {
        let changed_settings = self.change_settings(config)?;
        let mut node = self.borrow();
        node.metrics.reload_succeeded();
        let source_change = node.move_discovery(self, config.discovery);
        let restart_only_changes = node.configuration.restart_only_changes(config);
        drop(node);
        log!(
            "configuration reloaded: discovery {discovery}, settings {settings}{restart}",
            discovery = match source_change {
                SourceChange::Moved => format!("moves to {}", config.discovery),
                SourceChange::Unchanged => "stays".into(),
            },
            settings = match &changed_settings[..] {
                [] => "stay".into(),
                names => format!("change in {}", names.join(", ")),
            },
            restart = match &restart_only_changes[..] {
                [] => String::new(),
                names => format!("; only a restart changes: {}", names.join(", ")),
            },
        );
        Ok(())
    }

    /// Records that a configuration was not applied.
    pub fn reload_failed(&self) {
        self.borrow().metrics.reload_failed();
    }

    /// Applies the settings of a configuration. Returns the names of those that have changed.
    fn change_settings(&self, config: &Config) -> Result<Vec<String>, ReloadError> {
        let changed = self.borrow().apply_settings(self, config)?;
        if !changed.is_empty() {
            // The actions may have queued events. A timer event without effect makes the balancer handle them.
            self.handle(Event::Timer { token: 0 });
        }
        Ok(changed)
    }
}

impl Node {
    fn move_discovery(&mut self, handle: &NodeHandle, address: SocketAddr) -> SourceChange {
        let change = self.endpoints.move_to(address);
        if change == SourceChange::Moved {
            self.start_discovery_watch(handle);
        }
        change
    }

    fn apply_settings(
        &mut self,
        handle: &NodeHandle,
        config: &Config,
    ) -> Result<Vec<String>, ReloadError> {
        if let Some(key) = self.configuration.missing_key(config) {
            return Err(ReloadError::MissingKey(key));
        }
        let changed = self.configuration.changed_settings(config);
        if changed.is_empty() {
            return Ok(changed);
        }
        let mut actions = Vec::new();
        let classes = self
            .balancer
            .change_settings(self.clock.now(), config.settings.clone(), &mut actions)
            .map_err(ReloadError::Settings)?;
        let mode_changes = self.configuration.settings().discovery != config.settings.discovery;
        self.connections.set_limits(&config.settings.limits);
        self.metrics.add_classes(&config.settings.classes);
        self.configuration.replace_settings(config, classes);
        for action in actions {
            self.execute(handle, action);
        }
        if mode_changes {
            self.start_discovery_watch(handle);
        }
        Ok(changed)
    }
}
