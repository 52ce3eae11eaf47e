//! The priority level of a request: the level of its class, or the lowest level if its tenant exceeds its quota share.

use super::answer_time::MIN_SAMPLES;
use super::balancer::Balancer;
use super::event::Request;
use super::id::TenantId;
use super::thresholds::Thresholds;
use std::collections::HashSet;

/// The level of requests beyond a tenant's quota share. It is reserved if the settings have tenants.
const OVER_SHARE_LEVEL: usize = 0;

impl Balancer {
    /// Sets the priority level of each class and the thresholds of the levels. Includes removed classes that pending
    /// requests still refer to.
    pub(super) fn set_levels(&mut self) {
        let priority_weights = self.priority_weights_in_use();
        let reserved_levels = usize::from(!self.settings.tenants.is_empty());
        let level_count = priority_weights.len() + reserved_levels;
        self.thresholds = Thresholds::for_levels(level_count);
        for (state, class) in self.classes.iter_mut().zip(&self.settings.classes) {
            let rank = priority_weights
                .iter()
                .position(|weight| *weight == class.priority_weight);
            state.level = reserved_levels + rank.unwrap_or(0);
        }
        self.queued.set_levels(level_count);
    }

    /// Returns the distinct priority weights of the classes in the settings and of pending requests, the lowest first.
    fn priority_weights_in_use(&self) -> Vec<f64> {
        let request_classes: HashSet<usize> =
            self.requests.values().map(|p| p.request.class.0).collect();
        let is_in_use = |class: &usize| {
            self.classes[*class].retired_at.is_none() || request_classes.contains(class)
        };
        let in_use = (0..self.classes.len()).filter(is_in_use);
        let mut priority_weights: Vec<f64> = in_use
            .map(|class| self.settings.classes[class].priority_weight)
            .collect();
        priority_weights.sort_by(f64::total_cmp);
        priority_weights.dedup();
        priority_weights
    }

    /// Sets the levels of pending requests after the settings have changed. Requests in flight are included, because
    /// they may be queued for a retry.
    pub(super) fn set_priority_levels_of_requests(&mut self, had_tenants: bool) {
        let keeps_tenants = had_tenants && !self.settings.tenants.is_empty();
        for pending in self.requests.values_mut() {
            let is_over_share = pending.level == OVER_SHARE_LEVEL && keeps_tenants;
            if !is_over_share {
                pending.level = self.classes[pending.request.class.0].level;
            }
        }
    }

    /// Returns the level of a new request. If a tenant exceeds its share of this balancer's arrivals, the excess
    /// fraction of its requests, selected at random, gets the lowest level.
    pub(super) fn priority_level(&mut self, request: &Request, rate_decay: f64) -> usize {
        for rate in &mut self.tenant_rates {
            *rate *= rate_decay;
        }
        let level = self.classes[request.class.0].level;
        let Some(TenantId(tenant)) = request.tenant else {
            return level;
        };
        self.tenant_rates[tenant] += 1.0;
        let total_rate: f64 = self.tenant_rates.iter().sum();
        let quota_rate = self.settings.tenants[tenant].quota_share * total_rate;
        let excess_fraction = 1.0 - quota_rate / self.tenant_rates[tenant];
        let is_over_share =
            total_rate > f64::from(MIN_SAMPLES) && self.random.unit_interval() < excess_fraction;
        if is_over_share {
            OVER_SHARE_LEVEL
        } else {
            level
        }
    }
}
