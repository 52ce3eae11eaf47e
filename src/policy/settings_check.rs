//! The validation of settings.

use super::class_settings::{Class, Idempotency};
use super::settings::{DiscoveryMode, Settings};
use std::time::Duration;

/// The longest valid duration.
const MAX_DURATION: Duration = Duration::from_secs(366 * 86_400);
/// The largest valid price, priority weight or multiple.
const MAX_AMOUNT: f64 = 1e9;

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field} {problem}")]
pub struct SettingsError {
    /// The path of the setting below [`Settings`].
    pub field: String,
    /// Why it is invalid.
    pub problem: &'static str,
}

/// A setting: its path below [`Settings`], and its value.
struct Setting<T> {
    path: String,
    value: T,
}

/// Settings, grouped by the constraint that applies to them.
#[derive(Default)]
struct SettingsByConstraint {
    durations: Vec<Setting<Duration>>,
    positive_durations: Vec<Setting<Duration>>,
    fractions: Vec<Setting<f64>>,
    amounts: Vec<Setting<f64>>,
}

impl Settings {
    /// Checks that all settings are valid.
    ///
    /// # Errors
    /// Returns the first invalid setting: zero balancers, no class, two classes with the same name, an attempt limit of
    /// zero, a fraction, price, weight or multiple that is out of range or not a number, a duration of more than a
    /// year, or a duration of zero where that is not allowed.
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.validation_errors()
            .into_iter()
            .next()
            .map_or(Ok(()), Err)
    }

    /// Returns all invalid settings, by the rules of [`Settings::validate`].
    #[must_use]
    pub fn validation_errors(&self) -> Vec<SettingsError> {
        let mut violations = Vec::new();
        if self.balancers == 0 {
            violations.push(violation("balancers", "is zero"));
        }
        if self.classes.is_empty() {
            violations.push(violation("classes", "is empty"));
        }
        if let Some(position) = repeated_class_position(&self.classes) {
            violations.push(violation(
                &format!("classes[{position}].name"),
                "repeats the name of an earlier class",
            ));
        }
        if self.limits.max_attempts == 0 {
            violations.push(violation("limits.max_attempts", "is zero"));
        }
        let mut settings_by_constraint = SettingsByConstraint::default();
        settings_by_constraint.add_limits_and_rules(self);
        settings_by_constraint.add_prices(self);
        settings_by_constraint.add_classes(self);
        settings_by_constraint.add_tenants(self);
        settings_by_constraint.add_violations(&mut violations);
        violations
    }
}

fn violation(path: &str, problem: &'static str) -> SettingsError {
    SettingsError {
        field: path.into(),
        problem,
    }
}

/// Returns the position of the first class that has the same name as an earlier class.
fn repeated_class_position(classes: &[Class]) -> Option<usize> {
    (1..classes.len()).find(|position| {
        classes[..*position]
            .iter()
            .any(|class| class.name == classes[*position].name)
    })
}

impl SettingsByConstraint {
    fn add_duration(&mut self, path: impl Into<String>, value: Duration) {
        self.durations.push(Setting {
            path: path.into(),
            value,
        });
    }

    fn add_positive_duration(&mut self, path: impl Into<String>, value: Duration) {
        self.positive_durations.push(Setting {
            path: path.into(),
            value,
        });
    }

    fn add_fraction(&mut self, path: impl Into<String>, value: f64) {
        self.fractions.push(Setting {
            path: path.into(),
            value,
        });
    }

    fn add_amount(&mut self, path: impl Into<String>, value: f64) {
        self.amounts.push(Setting {
            path: path.into(),
            value,
        });
    }

    fn add_limits_and_rules(&mut self, settings: &Settings) {
        let (limits, rules) = (&settings.limits, &settings.rules);
        self.add_duration("limits.max_retry_after", limits.max_retry_after);
        self.add_duration("limits.idle_timeout", limits.idle_timeout);
        self.add_duration("limits.connect_timeout", limits.connect_timeout);
        self.add_duration("rules.answer_slack", rules.answer_slack);
        self.add_duration("rules.drain_grace", rules.drain_grace);
        match settings.discovery {
            DiscoveryMode::OnRequest => {
                self.add_positive_duration("rules.poll_interval", rules.poll_interval);
            }
            DiscoveryMode::Pushed => self.add_duration("rules.poll_interval", rules.poll_interval),
        }
        self.add_duration("rules.warm_up_time", rules.warm_up_time);
        self.add_duration("rules.overload_window", rules.overload_window);
        self.add_duration("rules.drain_close", rules.drain_close.unwrap_or_default());
        self.add_duration("rules.key_cooldown", rules.key_cooldown.unwrap_or_default());
        self.add_duration("tick", settings.tick);
        self.add_fraction("rules.initial_capacity", rules.initial_capacity);
        self.add_amount("rules.overload_multiple", rules.overload_multiple);
    }

    fn add_prices(&mut self, settings: &Settings) {
        let prices = &settings.prices;
        self.add_amount("prices.cross_zone", prices.cross_zone);
        self.add_amount("prices.waste", prices.waste);
        self.add_amount("prices.health_check", prices.health_check);
        self.add_amount("prices.peer", prices.peer);
        self.add_amount("prices.handshake", prices.handshake);
        self.add_amount("prices.connection", prices.connection);
        self.add_amount("prices.late_fail", prices.late_fail);
        self.add_amount("prices.discovery", prices.discovery);
    }

    fn add_classes(&mut self, settings: &Settings) {
        for (position, class) in settings.classes.iter().enumerate() {
            let path = |name: &str| format!("classes[{position}].{name}");
            self.add_positive_duration(path("objective"), class.objective);
            self.add_positive_duration(path("deadline"), class.deadline);
            if let Idempotency::Keyed { window, .. } = class.idempotency {
                self.add_duration(path("idempotency.window"), window);
            }
            self.add_amount(path("priority_weight"), class.priority_weight);
            self.add_amount(path("objective_per_work"), class.objective_per_work);
            self.add_fraction(path("late_value"), class.late_value);
        }
    }

    fn add_tenants(&mut self, settings: &Settings) {
        self.add_fraction("over_share_value", settings.over_share_value);
        for (position, tenant) in settings.tenants.iter().enumerate() {
            self.add_fraction(
                format!("tenants[{position}].quota_share"),
                tenant.quota_share,
            );
            self.add_amount(
                format!("tenants[{position}].quota_per_s"),
                tenant.quota_per_s,
            );
        }
    }

    fn add_violations(&self, violations: &mut Vec<SettingsError>) {
        for Setting { path, value } in self.durations.iter().chain(&self.positive_durations) {
            if *value > MAX_DURATION {
                violations.push(violation(path, "is more than a year"));
            }
        }
        for Setting { path, value } in &self.positive_durations {
            if value.is_zero() {
                violations.push(violation(path, "is zero"));
            }
        }
        for Setting { path, value } in &self.fractions {
            if !(0.0..=1.0).contains(value) {
                violations.push(violation(path, "is not from 0 to 1"));
            }
        }
        for Setting { path, value } in &self.amounts {
            if !(0.0..=MAX_AMOUNT).contains(value) {
                violations.push(violation(path, "is not from 0 to 1000000000"));
            }
        }
    }
}
