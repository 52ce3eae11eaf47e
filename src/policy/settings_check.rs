//! Which settings an instance can work with.

use super::settings::{Class, DiscoveryMode, Idempotency, Settings};
use std::time::Duration;

/// No time in the settings is longer.
const MAX_TIME: Duration = Duration::from_secs(366 * 86_400);
/// No price, worth or multiple in the settings is larger.
const MAX_AMOUNT: f64 = 1e9;

/// Settings that no instance can work with: which one, and why.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field} {problem}")]
pub struct SettingsError {
    /// The setting, as a path below [`Settings`].
    pub field: String,
    /// What is wrong with it.
    pub problem: &'static str,
}

/// A setting by its path below [`Settings`], and what it is set to.
struct Setting<T> {
    path: String,
    value: T,
}

/// Settings by the rule that each kind has to keep.
#[derive(Default)]
struct SettingsByConstraint {
    times: Vec<Setting<Duration>>,
    positive_times: Vec<Setting<Duration>>,
    fractions: Vec<Setting<f64>>,
    amounts: Vec<Setting<f64>>,
}

impl Settings {
    /// Whether an instance can work with these.
    ///
    /// # Errors
    /// Names the first setting that makes no sense: no instance or class, two classes of one name, an attempt limit
    /// of zero, a share, price, worth or fraction outside its range or not a number, a time of more than a year, or
    /// none where one is needed.
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.validation_errors()
            .into_iter()
            .next()
            .map_or(Ok(()), Err)
    }

    /// All settings that make no sense, as [`Settings::validate`] has it.
    #[must_use]
    pub fn validation_errors(&self) -> Vec<SettingsError> {
        let mut violations = Vec::new();
        if self.balancers == 0 {
            violations.push(violation("balancers", "is zero"));
        }
        if self.classes.is_empty() {
            violations.push(violation("classes", "is empty"));
        }
        if let Some(position) = repeated_name(&self.classes) {
            violations.push(violation(
                &format!("classes[{position}].name"),
                "is there twice",
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

/// The position of the first class whose name an earlier one has.
fn repeated_name(classes: &[Class]) -> Option<usize> {
    (1..classes.len()).find(|position| {
        classes[..*position]
            .iter()
            .any(|c| c.name == classes[*position].name)
    })
}

impl SettingsByConstraint {
    fn time(&mut self, path: impl Into<String>, value: Duration) {
        self.times.push(Setting {
            path: path.into(),
            value,
        });
    }

    fn positive_time(&mut self, path: impl Into<String>, value: Duration) {
        self.positive_times.push(Setting {
            path: path.into(),
            value,
        });
    }

    fn fraction(&mut self, path: impl Into<String>, value: f64) {
        self.fractions.push(Setting {
            path: path.into(),
            value,
        });
    }

    fn amount(&mut self, path: impl Into<String>, value: f64) {
        self.amounts.push(Setting {
            path: path.into(),
            value,
        });
    }

    fn add_limits_and_rules(&mut self, settings: &Settings) {
        let (limits, rules) = (&settings.limits, &settings.rules);
        self.time("limits.max_retry_after", limits.max_retry_after);
        self.time("limits.idle_timeout", limits.idle_timeout);
        self.time("limits.connect_timeout", limits.connect_timeout);
        self.time("rules.answer_slack", rules.answer_slack);
        self.time("rules.drain_grace", rules.drain_grace);
        match settings.discovery {
            DiscoveryMode::OnRequest => {
                self.positive_time("rules.poll_interval", rules.poll_interval);
            }
            DiscoveryMode::Pushed => self.time("rules.poll_interval", rules.poll_interval),
        }
        self.time("rules.warm_up_time", rules.warm_up_time);
        self.time("rules.overload_window", rules.overload_window);
        self.time("rules.drain_close", rules.drain_close.unwrap_or_default());
        self.time("rules.key_cooldown", rules.key_cooldown.unwrap_or_default());
        self.time("tick", settings.tick);
        self.fraction("rules.initial_capacity", rules.initial_capacity);
        self.amount("rules.overload_multiple", rules.overload_multiple);
    }

    fn add_prices(&mut self, settings: &Settings) {
        let prices = &settings.prices;
        self.amount("prices.cross_zone", prices.cross_zone);
        self.amount("prices.waste", prices.waste);
        self.amount("prices.health_check", prices.health_check);
        self.amount("prices.peer", prices.peer);
        self.amount("prices.handshake", prices.handshake);
        self.amount("prices.connection", prices.connection);
        self.amount("prices.late_fail", prices.late_fail);
        self.amount("prices.discovery", prices.discovery);
    }

    fn add_classes(&mut self, settings: &Settings) {
        for (position, class) in settings.classes.iter().enumerate() {
            let path = |name: &str| format!("classes[{position}].{name}");
            self.positive_time(path("objective"), class.objective);
            self.positive_time(path("deadline"), class.deadline);
            if let Idempotency::Keyed { window, .. } = class.idempotency {
                self.time(path("idempotency.window"), window);
            }
            self.amount(path("priority_weight"), class.priority_weight);
            self.amount(path("objective_per_work"), class.objective_per_work);
            self.fraction(path("late_value"), class.late_value);
        }
    }

    fn add_tenants(&mut self, settings: &Settings) {
        self.fraction("over_share_value", settings.over_share_value);
        for (position, tenant) in settings.tenants.iter().enumerate() {
            self.fraction(
                format!("tenants[{position}].quota_share"),
                tenant.quota_share,
            );
            self.amount(
                format!("tenants[{position}].quota_per_s"),
                tenant.quota_per_s,
            );
        }
    }

    fn add_violations(&self, violations: &mut Vec<SettingsError>) {
        for Setting { path, value } in self.times.iter().chain(&self.positive_times) {
            if *value > MAX_TIME {
                violations.push(violation(path, "is more than a year"));
            }
        }
        for Setting { path, value } in &self.positive_times {
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
                violations.push(violation(path, "is not from 0 to a thousand million"));
            }
        }
    }
}
