//! The subset of the tier that this instance sends to on the ordinary path.

use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::id::EndpointId;
use super::time::Timestamp;

/// Subset members at least: two draws need two. With more a quiet instance knew each queue less well.
pub(super) const MIN_SUBSET_SIZE: usize = 2;
/// Subset members for each own request a second: each is heard of every other second or so.
const MEMBERS_PER_REQUEST_RATE: f64 = 0.5;
/// Instances that share an endpoint when each keeps to its part.
const BALANCERS_PER_ENDPOINT: f64 = 4.0;

impl Balancer {
    /// Draws the subset: all instances shuffle the tier alike into a ring, and each takes the stretch that
    /// begins at its own number's part of the way round. When each drew by itself, chance put some endpoints
    /// in twice the subsets of others. A change of one endpoint moves a subset by one place at most. Cold
    /// members get a random first turn, not a send from every instance.
    pub(super) fn select_subset(&mut self, now: Timestamp) {
        let size = self.subset_size(now);
        self.subset = self.ring(&self.local);
        self.subset
            .truncate(self.length_with_warm_members(now, size));
        self.remote_subset = self.ring(&self.remote);
        self.remote_subset.truncate(size);
        self.endpoints
            .iter_mut()
            .for_each(|index| index.in_subset = false);
        for position in 0..self.subset.len() {
            let index = self.subset[position];
            self.endpoints[index].in_subset = true;
            if self.endpoints[index].awaits_first_send {
                self.endpoints[index].slow_start_slot = self.slow_start_clock;
            } else if self.endpoints[index].slow_start_slot.is_infinite() {
                self.endpoints[index].slow_start_slot = self.draw_slow_start_slot(now, index);
            }
        }
    }

    /// The length at which the ring holds so many warm endpoints. Cold ones ride along: a subset that was
    /// mostly cold left its instance next to nowhere to send.
    fn length_with_warm_members(&self, now: Timestamp, size: usize) -> usize {
        let is_warm =
            |position: &usize| self.slow_start_share(now, self.subset[*position]).is_none();
        let last = (0..self.subset.len()).filter(is_warm).nth(size - 1);
        last.map_or(self.subset.len(), |position| position + 1)
    }

    fn ring(&self, endpoints: &[EndpointIndex]) -> Vec<EndpointIndex> {
        let mut ring = endpoints.to_vec();
        ring.sort_by_cached_key(|index| shuffle_key(&self.endpoints[*index].id));
        let length = ring.len().max(1);
        let start = self.settings.peer_id.0 as usize * length / self.settings.balancers as usize;
        ring.rotate_left(start % length);
        ring
    }

    /// How many endpoints are this instance's part of the tier, of which each is in `BALANCERS_PER_ENDPOINT` parts.
    pub(super) fn fair_share_of_tier(&self) -> f64 {
        let available = self.local.len() + self.remote.len();
        available as f64 * BALANCERS_PER_ENDPOINT / f64::from(self.settings.balancers)
    }

    fn subset_size(&self, now: Timestamp) -> usize {
        let by_rate = self.arrival_rate.per_second(now) * MEMBERS_PER_REQUEST_RATE;
        MIN_SUBSET_SIZE.max(self.fair_share_of_tier().min(by_rate) as usize)
    }

    /// Draws the subset anew where it is half as large as the rate of arrivals now asks for.
    pub(super) fn grow_subset(&mut self, now: Timestamp) {
        let can_grow = self.subset.len() < self.local.len();
        if can_grow && self.subset_size(now) >= 2 * self.subset.len() {
            self.select_subset(now);
        }
    }
}

/// An endpoint's place in the shuffle that is the same at every instance and in every build (FNV-1a).
fn shuffle_key(id: &EndpointId) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x100_0000_01b3;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    id.0.bytes().fold(OFFSET_BASIS, step)
}
