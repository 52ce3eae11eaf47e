//! A fleet of hollow sidecars as experiments hold it.

use super::arrivals::Arrivals;
use super::counters::Counters;
use super::endpoints::EndpointTable;
use super::fleet_state::FleetState;
use super::load::HollowLoad;
use super::member::Identity;
use super::milestones::{self, Milestones};
use super::plan::MemberPlan;
use super::thread::{Command, HostThread};
use super::usage::{HollowSecond, HollowUsage};
use crate::sidecar::configuration::SidecarConfiguration;
use crate::topology::EndpointName;
use balancer_sidecar::policy::EndpointId;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A fleet of hollow sidecars on threads of its own, ended when it is dropped.
pub struct HollowFleet {
    state: Arc<FleetState>,
    /// What each sidecar is started from.
    plans: Mutex<Vec<Arc<MemberPlan>>>,
    threads: Vec<HostThread>,
}

impl HollowFleet {
    /// Starts one hollow sidecar for each configuration, all at once, spread over so many threads.
    ///
    /// # Errors
    /// No threads could be had, or settings that the decision module turns down.
    pub fn start(
        configurations: Vec<SidecarConfiguration>,
        load: HollowLoad,
        threads: usize,
    ) -> io::Result<Self> {
        Self::start_with_rates(configurations, load, |_| 1.0, threads)
    }

    /// Starts a fleet in which the rate of each sidecar's calls is the load's times a multiple, by the sidecar's place
    /// in the configurations.
    ///
    /// # Errors
    /// As [`HollowFleet::start`].
    pub fn start_with_rates(
        configurations: Vec<SidecarConfiguration>,
        load: HollowLoad,
        rate_multiple: impl Fn(usize) -> f64,
        threads: usize,
    ) -> io::Result<Self> {
        let plans = configurations
            .into_iter()
            .map(|c| MemberPlan::from_configuration(c).map(Arc::new));
        let plans = plans.collect::<io::Result<Vec<_>>>()?;
        let state = Arc::new(FleetState {
            load,
            rate_multiples: (0..plans.len()).map(rate_multiple).collect(),
            counters: Counters::start(),
            endpoints: EndpointTable::default(),
            milestones: plans.iter().map(|_| Milestones::default()).collect(),
        });
        let threads = (0..threads.max(1)).map(|number| HostThread::start(number, state.clone()));
        let threads = threads.collect::<io::Result<Vec<_>>>()?;
        let fleet = HollowFleet {
            state,
            plans: Mutex::new(plans),
            threads,
        };
        for (place, plan) in fleet.plans().iter().enumerate() {
            let identity = Identity { place, start: 0 };
            fleet.thread(place).send(Command::Start {
                identity,
                plan: plan.clone(),
            });
        }
        Ok(fleet)
    }

    /// Waits until every sidecar has been told this version or a later one, for `longest` at most. Times count from
    /// `since`; a sidecar that had it earlier counts as zero.
    pub fn wait_for_version(&self, version: u64, since: Instant, longest: Duration) -> Arrivals {
        milestones::wait(&self.state.milestones, since, longest, |m| {
            m.version_at(version)
        })
    }

    /// Waits until every sidecar is ready: it knows an endpoint that takes work.
    pub fn wait_until_ready(&self, since: Instant, longest: Duration) -> Arrivals {
        milestones::wait(&self.state.milestones, since, longest, Milestones::ready_at)
    }

    /// Waits until every sidecar has an open watch.
    pub fn wait_until_watching(&self, since: Instant, longest: Duration) -> Arrivals {
        milestones::wait(
            &self.state.milestones,
            since,
            longest,
            Milestones::watching_at,
        )
    }

    /// Ends these sidecars at once, by their place in the configurations, and starts them again from nothing
    /// but their configuration.
    pub fn restart(&self, which: &[usize]) {
        let plans = self.plans();
        for place in which.iter().copied() {
            let start = self.state.milestones[place].restart();
            let identity = Identity { place, start };
            self.thread(place).send(Command::Start {
                identity,
                plan: plans[place].clone(),
            });
        }
    }

    /// Points these sidecars at other configurations, as a reload by SIGHUP does. One that the decision module turns
    /// down is logged, and its sidecar goes on as before.
    pub fn reload(&self, which: &[usize], configuration: impl Fn(usize) -> SidecarConfiguration) {
        let mut plans = self.plans();
        for place in which.iter().copied() {
            let plan = match MemberPlan::from_configuration(configuration(place)) {
                Ok(plan) => Arc::new(plan),
                Err(problem) => {
                    tracing::warn!(place, "configuration not taken: {problem}");
                    continue;
                }
            };
            if plan.discovery != plans[place].discovery {
                self.state.milestones[place].move_source();
            }
            plans[place] = plan.clone();
            self.thread(place).send(Command::Reload { place, plan });
        }
    }

    /// Has the machines of these endpoints vanish (attempts time out) or come back, for all sidecars. That they come
    /// back cold is for discovery to tell, by their last start.
    pub fn set_unreachable(&self, endpoints: &[EndpointName], unreachable: bool) {
        for endpoint in endpoints {
            let name = EndpointId::from(endpoint.as_str());
            self.state.endpoints.get(&name).set_unreachable(unreachable);
        }
    }

    /// What the fleet did in each second since its start.
    pub fn timeline(&self) -> Vec<HollowSecond> {
        self.state.counters.timeline()
    }

    /// What the fleet has done so far.
    pub fn usage(&self) -> HollowUsage {
        HollowUsage {
            most_attempts_at_an_endpoint: self.state.endpoints.most_attempts_in_a_second(),
            ..self.state.counters.usage()
        }
    }

    fn plans(&self) -> MutexGuard<'_, Vec<Arc<MemberPlan>>> {
        self.plans.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn thread(&self, place: usize) -> &HostThread {
        &self.threads[place % self.threads.len()]
    }
}
