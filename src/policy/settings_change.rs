//! The replacement of a running balancer's settings.

use super::action::Action;
use super::balancer::Balancer;
use super::id::ClassId;
use super::settings::Settings;
use super::settings_check::SettingsError;
use super::time::Timestamp;

impl Balancer {
    /// Replaces the settings, and returns the ids of the new classes, in their order. An unchanged class keeps its id.
    /// Any other class gets a new id, because pending requests keep the class that they arrived with. Queued requests
    /// and the state of endpoints are kept, and the new thresholds apply to them.
    ///
    /// # Errors
    /// Returns the first invalid setting, and leaves the settings unchanged.
    pub fn change_settings(
        &mut self,
        now: Timestamp,
        settings: Settings,
        actions: &mut Vec<Action>,
    ) -> Result<Vec<ClassId>, SettingsError> {
        settings.validate()?;
        let had_tenants = !self.settings.tenants.is_empty();
        let ids = self.replace_settings(now, settings);
        let queued = self.queued.take_all();
        self.set_levels();
        self.set_priority_levels_of_requests(had_tenants);
        for id in queued {
            if let Some(pending) = self.requests.get(&id) {
                self.queued.push(pending);
            }
        }
        self.reapply_thresholds();
        self.update_localities();
        self.repartition_endpoints(now);
        self.send_queued_requests(now, actions);
        self.set_timer(now, actions);
        Ok(ids)
    }

    fn replace_settings(&mut self, now: Timestamp, mut settings: Settings) -> Vec<ClassId> {
        self.replace_tenant_rates(&settings);
        // The table of classes is extended instead of replaced, because pending requests refer to its rows.
        let class_table = std::mem::take(&mut self.settings.classes);
        let new_classes = std::mem::replace(&mut settings.classes, class_table);
        self.settings = settings;
        for state in &mut self.classes {
            state.retired_at = state.retired_at.or(Some(now));
        }
        new_classes
            .into_iter()
            .map(|class| self.assign_class_id(now, class))
            .collect()
    }

    /// Keeps the rates of the tenants that are also in the new settings.
    fn replace_tenant_rates(&mut self, settings: &Settings) {
        let old_tenants = &self.settings.tenants;
        let position_of = |name: &str| old_tenants.iter().position(|other| other.name == name);
        let rates = settings
            .tenants
            .iter()
            .map(|tenant| position_of(&tenant.name).map_or(0.0, |p| self.tenant_rates[p]));
        self.tenant_rates = rates.collect();
    }
}
