//! Which worth level a request has: by its class, and below all others beyond its tenant's share.

use super::answer_time::MIN_ANSWERS;
use super::balancer::Balancer;
use super::event::Request;
use super::id::TenantId;
use super::thresholds::Thresholds;
use std::collections::HashSet;
use std::time::Duration;

/// The level of traffic beyond a tenant's share, where there are tenants.
const OVER_SHARE_LEVEL: usize = 0;

/// A class that has left the settings is kept so long for requests that are on their way in with it.
pub(super) const RETIRED_CLASS_RETENTION: Duration = Duration::from_secs(60);

impl Balancer {
    /// Sets worth levels and their thresholds, for the classes of the settings and those that requests still
    /// have.
    pub(super) fn set_levels(&mut self) {
        let request_classes: HashSet<usize> =
            self.requests.values().map(|p| p.request.class.0).collect();
        let is_in_use =
            |c: &usize| self.classes[*c].retired_at.is_none() || request_classes.contains(c);
        let in_use = (0..self.classes.len()).filter(is_in_use);
        let mut priority_weights: Vec<f64> = in_use
            .map(|c| self.settings.classes[c].priority_weight)
            .collect();
        priority_weights.sort_by(f64::total_cmp);
        priority_weights.dedup();
        let spare = usize::from(!self.settings.tenants.is_empty());
        let levels = priority_weights.len() + spare;
        self.thresholds = Thresholds::for_levels(levels);
        for (state, class) in self.classes.iter_mut().zip(&self.settings.classes) {
            state.level = spare
                + priority_weights
                    .iter()
                    .position(|w| *w == class.priority_weight)
                    .unwrap_or(0);
        }
        self.queued.set_levels(levels);
    }

    /// Gives requests the levels of the settings now in force, those in flight too: they may be held for a
    /// retry.
    pub(super) fn set_priority_levels_of_requests(&mut self, had_tenants: bool) {
        let keeps_shares = had_tenants && !self.settings.tenants.is_empty();
        for pending in self.requests.values_mut() {
            let is_over_share = pending.level == OVER_SHARE_LEVEL && keeps_shares;
            if !is_over_share {
                pending.level = self.classes[pending.request.class.0].level;
            }
        }
    }

    /// The level of a new request. Beyond its tenant's share of what this instance sees, it ranks below all.
    pub(super) fn level(&mut self, request: &Request, rate_fade: f64) -> usize {
        self.tenant_rates
            .iter_mut()
            .for_each(|rate| *rate *= rate_fade);
        let level = self.classes[request.class.0].level;
        let Some(TenantId(tenant)) = request.tenant else {
            return level;
        };
        self.tenant_rates[tenant] += 1.0;
        let total_rate: f64 = self.tenant_rates.iter().sum();
        let over_share = 1.0
            - self.settings.tenants[tenant].quota_share * total_rate / self.tenant_rates[tenant];
        let is_over = total_rate > f64::from(MIN_ANSWERS) && self.random.unit() < over_share;
        if is_over { OVER_SHARE_LEVEL } else { level }
    }
}
