//! The subset of the tier that this balancer usually sends to.

use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::id::EndpointId;
use super::time::Timestamp;

/// The smallest size of a subset. The comparison of two random candidates needs two endpoints. With a larger minimum, a
/// balancer with few requests had less recent knowledge of each queue.
pub(super) const MIN_SUBSET_SIZE: usize = 2;
/// The number of subset members for each request that arrives per second. Each member is then sent about two requests
/// per second.
const MEMBERS_PER_REQUEST_RATE: f64 = 0.5;
/// The number of balancers whose subsets contain the same endpoint.
const BALANCERS_PER_ENDPOINT: f64 = 4.0;

impl Balancer {
    /// Selects the subset by deterministic subsetting: all balancers shuffle the tier in the same way, and each takes a
    /// section whose start is proportional to its own number. Independent random subsets contained some endpoints twice
    /// as often as others. A change of one endpoint changes at most one member. Warming members get random slow start
    /// slots, which keeps the balancers from sending to them all at once.
    pub(super) fn select_subset(&mut self, now: Timestamp) {
        let size = self.subset_size(now);
        self.endpoint_sets.subset = self.shuffled(&self.endpoint_sets.local);
        let length = self.length_with_warm_members(now, size);
        self.endpoint_sets.subset.truncate(length);
        self.endpoint_sets.remote_subset = self.shuffled(&self.endpoint_sets.remote);
        self.endpoint_sets.remote_subset.truncate(size);
        for endpoint in self.endpoints.iter_mut() {
            endpoint.in_subset = false;
        }
        for position in 0..self.endpoint_sets.subset.len() {
            self.add_to_subset(now, self.endpoint_sets.subset[position]);
        }
    }

    fn add_to_subset(&mut self, now: Timestamp, index: EndpointIndex) {
        self.endpoints[index].in_subset = true;
        if self.endpoints[index].awaits_first_send {
            self.endpoints[index].slow_start_slot = self.slow_start_clock;
        } else if self.endpoints[index].slow_start_slot.is_infinite() {
            self.endpoints[index].slow_start_slot = self.draw_slow_start_slot(now, index);
        }
    }

    /// Returns the length at which the subset has `size` warm members. Warming members are additional, because a
    /// balancer whose subset is mostly warming up could send hardly anything.
    fn length_with_warm_members(&self, now: Timestamp, size: usize) -> usize {
        let subset = &self.endpoint_sets.subset;
        let is_warm = |position: &usize| self.slow_start_share(now, subset[*position]).is_none();
        let last = (0..subset.len()).filter(is_warm).nth(size - 1);
        last.map_or(subset.len(), |position| position + 1)
    }

    /// Returns endpoints in the common shuffled order, rotated by this balancer's number.
    fn shuffled(&self, endpoints: &[EndpointIndex]) -> Vec<EndpointIndex> {
        let mut shuffled = endpoints.to_vec();
        shuffled.sort_by_cached_key(|index| shuffle_key(&self.endpoints[*index].id));
        let length = shuffled.len().max(1);
        let balancer_number = self.settings.peer_id.0 as usize;
        let start = balancer_number * length / self.settings.balancers as usize;
        shuffled.rotate_left(start % length);
        shuffled
    }

    /// Returns the number of endpoints in this balancer's share of the tier, if [`BALANCERS_PER_ENDPOINT`] balancers
    /// share each endpoint.
    pub(super) fn fair_share_of_tier(&self) -> f64 {
        let available = self.endpoint_sets.local.len() + self.endpoint_sets.remote.len();
        available as f64 * BALANCERS_PER_ENDPOINT / f64::from(self.settings.balancers)
    }

    fn subset_size(&self, now: Timestamp) -> usize {
        let by_rate = self.arrival_rate.per_second(now) * MEMBERS_PER_REQUEST_RATE;
        MIN_SUBSET_SIZE.max(self.fair_share_of_tier().min(by_rate) as usize)
    }

    /// Selects the subset again if the arrival rate allows at least twice its present size.
    pub(super) fn grow_subset(&mut self, now: Timestamp) {
        let can_grow = self.endpoint_sets.subset.len() < self.endpoint_sets.local.len();
        if can_grow && self.subset_size(now) >= 2 * self.endpoint_sets.subset.len() {
            self.select_subset(now);
        }
    }
}

/// Returns the key that sorts an endpoint in the shuffled order. The key is an FNV-1a hash, which is the same at every
/// balancer and in every build.
fn shuffle_key(id: &EndpointId) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x100_0000_01b3;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    id.0.bytes().fold(OFFSET_BASIS, step)
}
