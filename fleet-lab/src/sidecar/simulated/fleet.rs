//! A fleet of hollow sidecars as experiments hold it.

use super::convergence_times::ConvergenceTimes;
use super::counters::Counters;
use super::endpoints::{EndpointTable, SimulatedEndpoint};
use super::fleet_state::FleetState;
use super::load::SimulatedLoad;
use super::milestones::{self, Milestones};
use super::sidecar::Incarnation;
use super::sidecar_plan::SidecarPlan;
use super::thread::{Command, HostThread};
use super::usage::{FleetUsage, SecondCounts};
use crate::sidecar::configuration::SidecarConfiguration;
use crate::topology::EndpointName;
use balancer_sidecar::policy::EndpointId;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A fleet of hollow sidecars on threads of its own, ended when it is dropped.
#[derive(Debug)]
pub struct SimulatedFleet {
    state: Arc<FleetState>,
    /// What each sidecar is started from.
    plans: Mutex<Vec<Arc<SidecarPlan>>>,
    threads: Vec<HostThread>,
}

impl SimulatedFleet {
    /// Starts one hollow sidecar for each configuration, all at once, spread over so many threads.
    ///
    /// # Errors
    /// No threads could be had, or settings that the decision module turns down.
    pub fn start(
        configurations: &[SidecarConfiguration],
        load: SimulatedLoad,
        threads: usize,
    ) -> io::Result<Self> {
        Self::start_with_rates(configurations, load, |_| 1.0, threads)
    }

    /// Starts a fleet in which the rate of each sidecar's calls is the load's times a multiple, by the sidecar's place
    /// in the configurations.
    ///
    /// # Errors
    /// As [`SimulatedFleet::start`].
    pub fn start_with_rates(
        configurations: &[SidecarConfiguration],
        load: SimulatedLoad,
        rate_multiple: impl Fn(usize) -> f64,
        threads: usize,
    ) -> io::Result<Self> {
        let plans = configurations
            .iter()
            .map(|configuration| SidecarPlan::from_configuration(configuration).map(Arc::new));
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
        let fleet = SimulatedFleet {
            state,
            plans: Mutex::new(plans),
            threads,
        };
        for (index, plan) in fleet.plans().iter().enumerate() {
            let incarnation = Incarnation { index, restarts: 0 };
            fleet.thread(index).send(Command::Start {
                incarnation,
                plan: plan.clone(),
            });
        }
        Ok(fleet)
    }

    /// Waits until every sidecar has been told this version or a later one, for `longest` at most. Times count from
    /// `since`; a sidecar that had it earlier counts as zero.
    pub fn wait_for_version(
        &self,
        version: u64,
        since: Instant,
        longest: Duration,
    ) -> ConvergenceTimes {
        milestones::wait(&self.state.milestones, since, longest, |m| {
            m.version_at(version)
        })
    }

    /// Waits until every sidecar is ready: it knows an endpoint that takes work.
    pub fn wait_until_ready(&self, since: Instant, longest: Duration) -> ConvergenceTimes {
        milestones::wait(&self.state.milestones, since, longest, Milestones::ready_at)
    }

    /// Waits until every sidecar has an open watch.
    pub fn wait_until_watching(&self, since: Instant, longest: Duration) -> ConvergenceTimes {
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
        for index in which.iter().copied() {
            let restarts = self.state.milestones[index].restart();
            let incarnation = Incarnation { index, restarts };
            self.thread(index).send(Command::Start {
                incarnation,
                plan: plans[index].clone(),
            });
        }
    }

    /// Points these sidecars at other configurations, as a reload by SIGHUP does. One that the decision module turns
    /// down is logged, and its sidecar goes on as before.
    pub fn reload(&self, which: &[usize], configuration: impl Fn(usize) -> SidecarConfiguration) {
        let mut plans = self.plans();
        for index in which.iter().copied() {
            let plan = match SidecarPlan::from_configuration(&configuration(index)) {
                Ok(plan) => Arc::new(plan),
                Err(problem) => {
                    tracing::warn!(index, "configuration not taken: {problem}");
                    continue;
                }
            };
            if plan.discovery != plans[index].discovery {
                self.state.milestones[index].record_discovery_change();
            }
            plans[index] = plan.clone();
            self.thread(index).send(Command::Reload { index, plan });
        }
    }

    /// Makes these endpoints unreachable for all sidecars, as if their machines had failed: attempts in flight time out,
    /// and new ones cannot connect.
    pub fn make_unreachable(&self, endpoints: &[EndpointName]) {
        for endpoint in endpoints {
            self.endpoint(endpoint).make_unreachable();
        }
    }

    /// Makes these endpoints reachable again. That they are warming up is published by discovery, in their last start.
    pub fn make_reachable(&self, endpoints: &[EndpointName]) {
        for endpoint in endpoints {
            self.endpoint(endpoint).make_reachable();
        }
    }

    fn endpoint(&self, name: &EndpointName) -> Arc<SimulatedEndpoint> {
        self.state.endpoints.get(&EndpointId::from(name.as_str()))
    }

    /// What the fleet did in each second since its start.
    pub fn timeline(&self) -> Vec<SecondCounts> {
        self.state.counters.timeline()
    }

    /// What the fleet has done so far.
    pub fn usage(&self) -> FleetUsage {
        FleetUsage {
            max_attempts_at_an_endpoint: self.state.endpoints.max_attempts_in_a_second(),
            ..self.state.counters.usage()
        }
    }

    fn plans(&self) -> MutexGuard<'_, Vec<Arc<SidecarPlan>>> {
        self.plans.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn thread(&self, index: usize) -> &HostThread {
        &self.threads[index % self.threads.len()]
    }
}
