//! The node's components, its start, and the loop that feeds events to the balancer.

use super::active_configuration::ActiveConfiguration;
use super::connections::{AdmittedCaller, Connections};
use super::endpoints::Endpoints;
use super::hot_restart::HotRestart;
use super::memory::{NodeMemory, RequestSize};
use super::open_requests::OpenRequests;
use super::sent_requests::SentRequests;
use crate::clock::Clock;
use crate::configuration::Config;
use crate::policy::{Action, Balancer, DiscoveryMode, EndpointId, Event, ListKind, SettingsError};
use crate::sidecar::admin_state::AdminState;
use crate::sidecar::caller::CallerTable;
use crate::sidecar::counters::Counters;
use crate::sidecar::descriptors::{DescriptorBudget, OpenConnections};
use crate::sidecar::hot_restart::{ReceivedList, SharedDirectory};
use crate::sidecar::memory::{MemoryBudget, RequestMemory};
use crate::sidecar::metrics::{Metrics, RequestTracker};
use crate::sidecar::shutdown_deadline::ShutdownDeadline;
use std::cell::{RefCell, RefMut};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The state of one sidecar, with its balancer. Each component is changed only through its own methods.
pub struct Node {
    pub(super) clock: Clock,
    pub(super) balancer: Balancer,
    pub(super) configuration: ActiveConfiguration,
    pub(super) requests: OpenRequests,
    pub(super) endpoints: Endpoints,
    pub(super) connections: Connections,
    pub(super) hot_restart: HotRestart,
    pub(super) sent_requests: SentRequests,
    pub(super) list_of_other_process: ReceivedList,
    pub(super) memory: NodeMemory,
    /// The counters since the last counters line of the log.
    pub(super) counters: Counters,
    /// The metrics since the start.
    pub(super) metrics: Metrics,
    /// The seed of random numbers that are drawn outside the balancer, as for jitter.
    seed: u64,
    /// Events that the balancer has not handled yet.
    events: VecDeque<Event>,
    /// The buffer of the balancer's actions, reused to avoid an allocation per event.
    actions: Vec<Action>,
}

/// A shared reference to the node, for tasks. Its methods borrow the node and release it before they return.
#[derive(Clone)]
pub struct NodeHandle(Rc<RefCell<Node>>);

/// The options with which a node starts.
pub struct StartOptions {
    /// The configuration.
    pub config: Config,
    /// The directory that the processes of one sidecar share, if it takes part in hot restarts.
    pub directory: Option<Rc<SharedDirectory>>,
    /// States whether another process of the sidecar is running.
    pub mode: StartMode,
    /// The number of descriptors that are reserved for operators' connections.
    pub reserved_descriptors: usize,
}

/// States whether another process of the sidecar is running when this one starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// No other process is running.
    Fresh,
    /// An old process serves callers until this one is ready.
    HotRestart,
}

impl NodeHandle {
    /// Starts a node with the cached list of its configuration.
    ///
    /// The node watches discovery once its balancer subscribes. It watches at once in a hot restart and if lists are
    /// pushed. It also watches at once if there is no cached list, because the balancer subscribes only when it has an
    /// old list.
    ///
    /// # Errors
    /// The balancer cannot work with the settings.
    pub fn start(options: StartOptions) -> Result<Self, SettingsError> {
        let mode = options.mode;
        let cached_list = options.config.cached_list.clone();
        let node = NodeHandle(Rc::new(RefCell::new(Node::new(options)?)));
        node.restore_disabled_endpoints();
        if let Some(list) = &cached_list {
            node.borrow().endpoints.set_cached_version(list.version);
            node.apply_list(list, ListKind::Cached);
        }
        if cached_list.is_none() || node.borrow().watches_at_once(mode) {
            node.borrow().start_discovery_watch(&node);
        }
        if mode == StartMode::HotRestart {
            node.borrow().await_first_list();
        }
        Ok(node)
    }

    fn restore_disabled_endpoints(&self) {
        let stored = self.borrow().hot_restart.stored_disabled_endpoints();
        for endpoint in stored.iter().flatten() {
            self.apply_admin_state(&endpoint.as_str().into(), AdminState::Disabled);
        }
    }

    /// Borrows the node. The guard must not be held across an await.
    pub fn borrow(&self) -> RefMut<'_, Node> {
        self.0.borrow_mut()
    }

    /// Passes an event and the events that it causes to the balancer, and executes the balancer's actions in order.
    pub(super) fn handle(&self, event: Event) {
        let mut node = self.borrow();
        node.events.push_back(event);
        while let Some(event) = node.events.pop_front() {
            let now = node.clock.now();
            let mut actions = std::mem::take(&mut node.actions);
            node.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                node.execute(self, action);
            }
            node.actions = actions;
        }
    }
}

impl Node {
    fn new(options: StartOptions) -> Result<Self, SettingsError> {
        let StartOptions {
            config,
            directory,
            reserved_descriptors,
            ..
        } = options;
        let mut metrics = Metrics::default();
        metrics.add_classes(&config.settings.classes);
        let descriptors = DescriptorBudget::new(config.max_descriptors, reserved_descriptors);
        let memory = NodeMemory::new(config.max_memory_mb);
        let clock = Clock::start();
        Ok(Node {
            clock,
            balancer: Balancer::new(config.settings.clone(), config.seed)?,
            requests: OpenRequests::default(),
            endpoints: Endpoints::new(config.discovery, clock.now()),
            connections: Connections::new(
                &config.settings.limits,
                descriptors,
                memory.process().clone(),
            ),
            hot_restart: HotRestart::new(directory),
            sent_requests: SentRequests::default(),
            list_of_other_process: ReceivedList::default(),
            memory,
            counters: Counters::default(),
            metrics,
            configuration: ActiveConfiguration::new(
                config.settings,
                config.reload_baseline,
                config.restart_values,
            ),
            seed: config.seed,
            events: VecDeque::new(),
            actions: Vec::new(),
        })
    }

    /// Returns whether a node watches discovery without waiting for its balancer to subscribe.
    fn watches_at_once(&self, mode: StartMode) -> bool {
        mode == StartMode::HotRestart || self.discovery_mode() == DiscoveryMode::Pushed
    }

    /// Begins the wait for the first list.
    fn await_first_list(&mut self) {
        let now = self.clock.now();
        self.endpoints.await_first_list(now);
    }

    /// Queues an event behind the one that the balancer is handling.
    pub(super) fn queue_event(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Returns the clock that the balancer's times are taken from.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> &ActiveConfiguration {
        &self.configuration
    }

    /// Returns the callers' connections.
    pub fn callers(&self) -> &CallerTable {
        self.connections.callers()
    }

    /// Returns a mutable reference to the callers' connections.
    pub fn callers_mut(&mut self) -> &mut CallerTable {
        self.connections.callers_mut()
    }

    /// Admits a connection that was just accepted. Returns `None` if it is to be closed unread.
    pub fn admit_caller(&mut self) -> Option<AdmittedCaller> {
        self.connections.admit_caller()
    }

    /// Returns whether a process to which this one has handed its listening socket is running.
    pub fn has_new_process(&self) -> bool {
        self.hot_restart.processes().has_new_process()
    }

    /// Returns how many connections are open.
    pub fn open_connections(&self) -> OpenConnections {
        self.connections.open_connections()
    }

    /// Reserves the memory of a request. Idle connections to endpoints are closed for it if the process has too little.
    /// Returns `None` if that is not enough, or if there is none for its body.
    pub fn reserve_request_memory(&mut self, size: RequestSize) -> Option<RequestMemory> {
        if !self.memory.may_buffer(size) {
            return None;
        }
        loop {
            if let Some(memory) = self.memory.reserve_request(size) {
                return Some(memory);
            }
            if !self.connections.close_oldest_idle() {
                return None;
            }
        }
    }

    /// Returns the budget of the process's memory.
    pub fn process_memory(&self) -> &MemoryBudget {
        self.memory.process()
    }

    /// Returns the seed of random numbers that are drawn outside the balancer.
    pub(super) fn seed(&self) -> u64 {
        self.seed
    }

    /// Begins a graceful shutdown. Every request that arrives from now on is answered within `time`.
    pub fn begin_shutdown(&mut self, time: Duration) {
        self.shutdown_deadline().begin(Instant::now() + time);
    }

    /// Returns the deadline of a graceful shutdown.
    pub fn shutdown_deadline(&self) -> &ShutdownDeadline {
        self.requests.shutdown_deadline()
    }

    /// Returns an endpoint's administrative state, which the operators set.
    pub fn admin_state(&self, endpoint: &EndpointId) -> AdminState {
        AdminState::from_disabled(self.balancer.is_disabled(endpoint))
    }

    /// Returns the endpoints that the operators have disabled.
    pub fn disabled_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.balancer.disabled_endpoints()
    }

    /// Returns whether callers may be sent to this sidecar. This requires a serving endpoint that is not disabled. The
    /// sidecar must be neither shutting down, nor draining, nor waiting for its first list.
    pub fn is_ready(&self) -> bool {
        let is_enabled = |endpoint: &EndpointId| !self.balancer.is_disabled(endpoint);
        self.endpoints.serving().any(is_enabled)
            && self.shutdown_deadline().get().is_none()
            && !self.endpoints.awaits_first_list(self.clock.now())
            && self.callers().drain_state().is_none()
    }

    /// Starts to track a request of a class in the metrics.
    pub fn begin_request(&mut self, class: &str) -> RequestTracker {
        self.metrics.begin_request(class)
    }
}
