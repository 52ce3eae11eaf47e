//! The ids of classes while settings change. No decision is made here.

use super::balancer::Balancer;
use super::class::ClassState;
use super::endpoint::FailureShare;
use super::id::ClassId;
use super::settings::Class;
use super::time::Timestamp;
use std::collections::HashSet;
use std::time::Duration;

impl Balancer {
    /// The id of a class: its own, if the table has just that, else one that no request has and that left the
    /// settings at least `reuse_after` ago, or a new one. What is known of a class of its name is kept, else
    /// its usual answer time is `initial_estimate`.
    pub(super) fn place_class(
        &mut self,
        now: Timestamp,
        class: Class,
        initial_estimate: f64,
        reuse_after: Duration,
    ) -> ClassId {
        let table = &mut self.settings.classes;
        if let Some(position) = table.iter().position(|c| *c == class) {
            self.classes[position].retired_at = None;
            return ClassId(position);
        }
        let namesake = table.iter().rposition(|c| c.name == class.name);
        let fresh = || ClassState {
            estimated_time: initial_estimate,
            ..ClassState::default()
        };
        let state = namesake.map_or_else(fresh, |position| self.classes[position].clone());
        let state = ClassState {
            retired_at: None,
            ..state
        };
        let in_use: HashSet<usize> = self.requests.values().map(|p| p.request.class.0).collect();
        let is_reusable = |position: &usize| {
            let retired_at = self.classes[*position].retired_at;
            retired_at.is_some_and(|at| now.since(at) >= reuse_after) && !in_use.contains(position)
        };
        let position = (0..table.len()).find(is_reusable).unwrap_or(table.len());
        if position == table.len() {
            table.push(class);
            self.classes.push(state);
            self.endpoints
                .iter_mut()
                .for_each(|index| index.failures.push(FailureShare::default()));
        } else {
            table[position] = class;
            self.classes[position] = state;
            self.endpoints
                .iter_mut()
                .for_each(|index| index.failures[position] = FailureShare::default());
        }
        ClassId(position)
    }
}
