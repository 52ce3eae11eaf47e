//! The handle with which experiments control a fleet of simulated sidecars.

use super::convergence_times::ConvergenceTimes;
use super::counters::Counters;
use super::endpoints::{EndpointTable, SimulatedEndpoint};
use super::error::FleetError;
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

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A fleet of simulated sidecars on its own threads. It is stopped when it is dropped.
#[derive(Debug)]
pub struct SimulatedFleet {
    state: Arc<FleetState>,
    /// The configuration with which each sidecar is started, by the sidecar's index.
    plans: Mutex<Vec<Arc<SidecarPlan>>>,
    threads: Vec<HostThread>,
}

impl SimulatedFleet {
    /// Starts one sidecar for each configuration. All are started at the same time and are distributed over the
    /// threads.
    ///
    /// # Errors
    /// Fails if a thread cannot be started or the balancer rejects settings.
    pub fn start(
        configurations: &[SidecarConfiguration],
        load: SimulatedLoad,
        threads: usize,
    ) -> Result<Self, FleetError> {
        Self::start_with_rates(configurations, load, |_| 1.0, threads)
    }

    /// Starts a fleet whose sidecars have different rates of calls. A sidecar's rate is that of the load, multiplied by
    /// the factor that `rate_multiple` returns for the sidecar's index.
    ///
    /// # Errors
    /// Fails as [`SimulatedFleet::start`] does.
    pub fn start_with_rates(
        configurations: &[SidecarConfiguration],
        load: SimulatedLoad,
        rate_multiple: impl Fn(usize) -> f64,
        threads: usize,
    ) -> Result<Self, FleetError> {
        let plans = configurations
            .iter()
            .map(|configuration| SidecarPlan::from_configuration(configuration).map(Arc::new));
        let plans = plans.collect::<Result<Vec<_>, _>>()?;
        let state = Arc::new(FleetState {
            load,
            rate_multiples: (0..plans.len()).map(rate_multiple).collect(),
            counters: Counters::start(),
            endpoints: EndpointTable::default(),
            milestones: plans.iter().map(|_| Milestones::default()).collect(),
        });
        let threads = (0..threads.max(1)).map(|number| HostThread::start(number, state.clone()));
        let threads = threads.collect::<Result<Vec<_>, _>>()?;
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

    /// Waits until every sidecar has received this version or a later one, or until the timeout. The times are relative
    /// to `since`, and zero for sidecars that received the version earlier.
    pub fn wait_for_version(
        &self,
        version: u64,
        since: Instant,
        timeout: Duration,
    ) -> ConvergenceTimes {
        milestones::wait_for_all(&self.state.milestones, since, timeout, |milestones| {
            milestones.version_at(version)
        })
    }

    /// Waits until every sidecar is ready or until the timeout. A sidecar is ready while its list has a serving
    /// endpoint.
    pub fn wait_until_ready(&self, since: Instant, timeout: Duration) -> ConvergenceTimes {
        milestones::wait_for_all(&self.state.milestones, since, timeout, Milestones::ready_at)
    }

    /// Waits until every sidecar has an open watch or until the timeout.
    pub fn wait_until_watching(&self, since: Instant, timeout: Duration) -> ConvergenceTimes {
        milestones::wait_for_all(
            &self.state.milestones,
            since,
            timeout,
            Milestones::watching_at,
        )
    }

    /// Kills the sidecars with these indices and starts them again with their configurations.
    pub fn restart(&self, indices: &[usize]) {
        let plans = self.plans();
        for index in indices.iter().copied() {
            let restarts = self.state.milestones[index].restart();
            let incarnation = Incarnation { index, restarts };
            self.thread(index).send(Command::Start {
                incarnation,
                plan: plans[index].clone(),
            });
        }
    }

    /// Reloads the sidecars with these indices with new configurations, as SIGHUP does for a real sidecar. If the
    /// balancer rejects a configuration, this is logged and the sidecar keeps its present one.
    pub fn reload(&self, indices: &[usize], configuration: impl Fn(usize) -> SidecarConfiguration) {
        let mut plans = self.plans();
        for index in indices.iter().copied() {
            let plan = match SidecarPlan::from_configuration(&configuration(index)) {
                Ok(plan) => Arc::new(plan),
                Err(error) => {
                    tracing::warn!(index, %error, "new configuration rejected; the present one stays in use");
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

    /// Makes these endpoints unreachable for all sidecars, as if their machines had failed. Attempts in flight time
    /// out, and new attempts cannot connect.
    pub fn make_unreachable(&self, endpoints: &[EndpointName]) {
        for endpoint in endpoints {
            self.endpoint(endpoint).make_unreachable();
        }
    }

    /// Makes these endpoints reachable again. The sidecars learn from discovery that the endpoints are warming up: the
    /// list contains the time of each endpoint's last start.
    pub fn make_reachable(&self, endpoints: &[EndpointName]) {
        for endpoint in endpoints {
            self.endpoint(endpoint).make_reachable();
        }
    }

    fn endpoint(&self, name: &EndpointName) -> Arc<SimulatedEndpoint> {
        self.state.endpoints.get(&EndpointId::from(name.as_str()))
    }

    /// Returns the counts of each second since the fleet's start.
    pub fn timeline(&self) -> Vec<SecondCounts> {
        self.state.counters.timeline()
    }

    /// Returns the total counts since the fleet's start.
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
