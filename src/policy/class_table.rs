//! The ids of classes while settings change.

use super::balancer::Balancer;
use super::class::ClassState;
use super::class_settings::Class;
use super::id::ClassId;
use super::time::Timestamp;
use std::collections::HashSet;
use std::time::Duration;

/// The time for which the id of a removed class is not reused. Until then, the host may still pass in requests of that
/// class.
const RETIRED_CLASS_RETENTION: Duration = Duration::from_secs(60);

impl Balancer {
    /// Returns the id for a class of new settings. An unchanged class keeps its id, and any other class gets an unused
    /// id. A changed class starts with the answer times of the earlier class with the same name.
    pub(super) fn assign_class_id(&mut self, now: Timestamp, class: Class) -> ClassId {
        let table = &self.settings.classes;
        if let Some(position) = table.iter().position(|other| *other == class) {
            self.classes[position].retired_at = None;
            return ClassId(position);
        }
        let earlier_position = table.iter().rposition(|other| other.name == class.name);
        let state = earlier_position.map_or_else(
            || ClassState::new(&class),
            |position| ClassState {
                retired_at: None,
                ..self.classes[position].clone()
            },
        );
        let position = self.unused_class_position(now);
        if position == self.classes.len() {
            self.settings.classes.push(class);
            self.classes.push(state);
        } else {
            self.settings.classes[position] = class;
            self.classes[position] = state;
        }
        for endpoint in self.endpoints.iter_mut() {
            endpoint.reset_failures(position);
        }
        ClassId(position)
    }

    /// Returns the position of a class that was retired long enough ago and has no pending requests, or else the end of
    /// the table.
    fn unused_class_position(&self, now: Timestamp) -> usize {
        let in_use: HashSet<usize> = self.requests.values().map(|p| p.request.class.0).collect();
        let is_reusable = |position: &usize| {
            let retired_at = self.classes[*position].retired_at;
            retired_at.is_some_and(|at| now.since(at) >= RETIRED_CLASS_RETENTION)
                && !in_use.contains(position)
        };
        let table_length = self.classes.len();
        (0..table_length).find(is_reusable).unwrap_or(table_length)
    }
}
