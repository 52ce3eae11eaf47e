//! One instance: its start, its settings, and what it does with each event.

use super::action::Action;
use super::answer_time::INITIAL_ESTIMATE_FRACTION;
use super::balancer::{Balancer, Budgets};
use super::class::ClassState;
use super::event::Event;
use super::health_check::MAX_SAVED_HEALTH_CHECKS;
use super::id::ClassId;
use super::priority_level::RETIRED_CLASS_RETENTION;
use super::retry::MAX_SAVED_RETRIES;
use super::settings::{Class, Settings};
use super::settings_check::SettingsError;
use super::time::Timestamp;
use super::token_budget::TokenBudget;

impl Balancer {
    /// A fresh instance. The same settings, seed and events give the same actions.
    ///
    /// # Errors
    /// Settings that make no sense are named; see [`Settings::validate`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let classes = settings.classes.iter().map(new_class).collect();
        let budgets = Budgets {
            retries: TokenBudget::new(MAX_SAVED_RETRIES),
            health_checks: TokenBudget::new(MAX_SAVED_HEALTH_CHECKS),
        };
        let mut balancer = Balancer::blank(settings, seed, classes, budgets);
        balancer.set_levels();
        Ok(balancer)
    }

    /// Goes on with other settings, and returns the ids of their classes, in their order. A class that is as
    /// it was keeps its id; any other gets one of its own, as requests under way keep the class they came
    /// with. What is held and known goes on under the new thresholds.
    ///
    /// # Errors
    /// Settings that make no sense are named, and all stays as it was.
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
        let position = |name: &str| self.settings.tenants.iter().position(|t| t.name == name);
        let rates = settings
            .tenants
            .iter()
            .map(|t| position(&t.name).map_or(0.0, |p| self.tenant_rates[p]));
        self.tenant_rates = rates.collect();
        // The table of classes goes on: requests under way name its rows.
        let table = std::mem::take(&mut self.settings.classes);
        let classes = std::mem::replace(&mut settings.classes, table);
        self.settings = settings;
        for state in &mut self.classes {
            state.retired_at = state.retired_at.or(Some(now));
        }
        let place = |class: Class| {
            let initial_estimate = class.objective.as_secs_f64() * INITIAL_ESTIMATE_FRACTION;
            self.place_class(now, class, initial_estimate, RETIRED_CLASS_RETENTION)
        };
        classes.into_iter().map(place).collect()
    }

    /// Takes one event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.arrival_rate.observe_from(now);
        self.remove_timed_out(now);
        self.key_order.forget_cooled_down(now);
        self.dispatch(now, event, actions);
        self.send_health_checks(now, actions);
        self.send_queued_requests(now, actions);
        self.set_timer(now, actions);
    }

    fn dispatch(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { kind, entries, .. } => {
                self.update_endpoints(now, kind, &entries, actions);
            }
            Event::DiscoveryFailed => self.discovery_failed(now),
            Event::EndpointDisabled(endpoint) => self.disable(now, endpoint, actions),
            Event::EndpointEnabled(endpoint) => self.enable(now, &endpoint),
            Event::Request(request) if self.is_valid(&request) => self.admit(now, request, actions),
            Event::StreamStarted { request, attempt } => {
                self.finish_request(&request, Some(attempt), actions);
            }
            Event::BodyConsumed { request } => self.body_consumed(&request),
            Event::ClientDisconnected { request } => self.finish_request(&request, None, actions),
            Event::AttemptEnded(ended) => self.attempt_ended(now, &ended, actions),
            Event::Timer { token } => self.timer_expired(token),
            Event::HealthCheckEnded {
                endpoint,
                outcome,
                report,
                ..
            } => {
                self.health_check_ended(now, &endpoint, outcome, report.as_ref());
            }
            Event::Request(_) | Event::PeerMessage { .. } => {}
        }
    }
}

fn new_class(class: &Class) -> ClassState {
    ClassState {
        estimated_time: class.objective.as_secs_f64() * INITIAL_ESTIMATE_FRACTION,
        ..ClassState::default()
    }
}
