//! The node's state, how it starts, and how events reach its decision module.

use super::open_request::OpenRequest;
use super::settings_in_force::SettingsHistory;
use crate::configuration::{Config, RestartValues};
use crate::discovery::Subscription;
use crate::policy::{
    Action, Balancer, BalancerStatus, DiscoveryMode, EndpointId, Event, ListKind, RequestId,
    SettingsError, Timestamp,
};
use crate::sidecar::caller::CallerTable;
use crate::sidecar::clock::Clock;
use crate::sidecar::counters::Counters;
use crate::sidecar::descriptors::DescriptorBudget;
use crate::sidecar::endpoint::ConnectionPool;
use crate::sidecar::memory::MemoryBudget;
use crate::sidecar::metrics::{MemberCounts, Metrics};
use crate::sidecar::upgrade::{OtherProcesses, SharedDirectory};
use crate::task::Task;
use serde_json::Value;
use std::cell::{RefCell, RefMut};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// A process that replaces another may wait so long for the first list of discovery before it is ready.
const FIRST_LIST_WITHIN: Duration = Duration::from_secs(3);
/// Parts of the memory, of which one is for callers' bodies and one for endpoints' answers.
const REQUEST_MEMORY_PARTS: usize = 4;
const ANSWER_MEMORY_PARTS: usize = 8;

/// The node.
pub struct Node {
    /// The clock that the module is run by.
    pub clock: Clock,
    /// The settings in force.
    pub settings: SettingsHistory,
    /// The configuration's settings and limits, as its file has them.
    pub(super) document: Value,
    pub(super) fixed: RestartValues,
    /// Callers' connections.
    pub callers: CallerTable,
    /// Idle connections to endpoints.
    pub pool: ConnectionPool,
    /// Shared by both.
    pub descriptors: DescriptorBudget,
    /// Room for callers' bodies.
    pub request_memory: MemoryBudget,
    /// Room for endpoints' answers.
    pub answer_memory: MemoryBudget,
    /// Counts since the log's last line of counts.
    pub counters: Counters,
    /// Counts since the start.
    pub metrics: Metrics,
    pub(super) balancer: Balancer,
    /// The configuration's, of random numbers that the module does not draw.
    pub(super) seed: u64,
    pub(super) subscription: Subscription,
    pub(super) open: HashMap<RequestId, OpenRequest>,
    pub(super) unanswered: u64,
    /// Once it stops: when nothing may be unanswered any more.
    pub last_answer: Option<Timestamp>,
    /// Until then callers are not asked for before discovery has spoken: another process serves them meanwhile.
    pub(super) first_list_due: Option<Timestamp>,
    /// The other processes of this sidecar, while there are any.
    pub other_processes: OtherProcesses,
    /// What it shares with the processes before and after it.
    pub directory: Option<Rc<SharedDirectory>>,
    /// The steps of a drain.
    pub(super) drain_steps: Option<Task>,
    pub(super) events: VecDeque<Event>,
    pub(super) actions: Vec<Action>,
}

/// What tasks hold of the node.
#[derive(Clone)]
pub struct NodeHandle(Rc<RefCell<Node>>);

/// How a process starts.
pub struct Start {
    /// Its configuration.
    pub config: Config,
    /// What it shares with the processes before and after it.
    pub directory: Option<Rc<SharedDirectory>>,
    /// It replaces a process that serves.
    pub replaces: bool,
    /// Descriptors reserved for operators' calls.
    pub reserved_descriptors: usize,
}

impl NodeHandle {
    /// A node that has been told the endpoints in the configuration, and follows discovery as its module decides; at once
    /// where it replaces a process that serves, and where the configuration names no endpoints.
    ///
    /// # Errors
    /// Settings that the decision module cannot work with.
    pub fn start(start: Start) -> Result<Self, SettingsError> {
        let Start {
            config,
            directory,
            replaces,
            reserved_descriptors,
        } = start;
        let known = config.cached_list.clone();
        let node = NodeHandle(Rc::new(RefCell::new(Node::new(
            config,
            directory,
            reserved_descriptors,
        )?)));
        node.restore_disabled_endpoints();
        // The module asks once what it was told is old, which with nothing told never comes.
        let knows_nothing = known.is_none();
        if let Some(known) = known {
            node.borrow()
                .subscription
                .membership_mut()
                .set_cached_version(known.index);
            node.take_list(&known, ListKind::Cached);
        }
        let is_pushed = node.borrow().settings.current().discovery == DiscoveryMode::Pushed;
        if replaces || is_pushed || knows_nothing {
            node.borrow().begin_watch(&node);
        }
        if replaces {
            let due = node.borrow().clock.now() + FIRST_LIST_WITHIN;
            node.borrow().first_list_due = Some(due);
        }
        Ok(node)
    }

    fn restore_disabled_endpoints(&self) {
        let directory = self.borrow().directory.clone();
        let disabled = directory
            .and_then(|directory| directory.disabled_endpoints())
            .unwrap_or_default();
        for endpoint in &disabled {
            self.set_disabled(endpoint.as_str().into(), true);
        }
    }

    /// Borrows the node, never across an await.
    pub fn borrow(&self) -> RefMut<'_, Node> {
        self.0.borrow_mut()
    }

    /// Passes an event on and carries out what comes of it, in order.
    pub(super) fn handle(&self, event: Event) {
        let mut node = self.borrow();
        node.events.push_back(event);
        while let Some(event) = node.events.pop_front() {
            let now = node.clock.now();
            let mut actions = std::mem::take(&mut node.actions);
            node.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                node.carry_out(self, action);
            }
            node.actions = actions;
        }
    }
}

impl Node {
    fn new(
        config: Config,
        directory: Option<Rc<SharedDirectory>>,
        reserved_descriptors: usize,
    ) -> Result<Self, SettingsError> {
        let mut metrics = Metrics::default();
        metrics.add_classes(
            config
                .settings
                .classes
                .iter()
                .map(|class| class.name.as_str()),
        );
        Ok(Node {
            clock: Clock::start(),
            balancer: Balancer::new(config.settings.clone(), config.seed)?,
            seed: config.seed,
            callers: CallerTable::default(),
            pool: ConnectionPool::new(&config.settings.limits),
            descriptors: DescriptorBudget::new(config.max_descriptors, reserved_descriptors),
            request_memory: MemoryBudget::fraction_of(config.max_memory_mb, REQUEST_MEMORY_PARTS),
            answer_memory: MemoryBudget::fraction_of(config.max_memory_mb, ANSWER_MEMORY_PARTS),
            counters: Counters::default(),
            metrics,
            settings: SettingsHistory::new(config.settings),
            document: config.settings_and_limits,
            fixed: config.restart_values,
            subscription: Subscription::new(config.discovery),
            open: HashMap::new(),
            unanswered: 0,
            last_answer: None,
            first_list_due: None,
            other_processes: OtherProcesses::default(),
            directory,
            drain_steps: None,
            events: VecDeque::new(),
            actions: Vec::new(),
        })
    }

    /// The sidecar stops: what it takes from now on is answered within this time.
    pub fn stop_within(&mut self, time: Duration) {
        self.last_answer = Some(self.clock.now() + time);
    }

    /// When a request that is refused unseen by the module is to come back.
    pub fn retry_after(&self) -> Option<Duration> {
        self.balancer.retry_after()
    }

    /// How the module stands.
    pub fn balancer_status(&self) -> BalancerStatus {
        self.balancer.status(self.clock.now())
    }

    /// Whether the operators have disabled an endpoint.
    pub fn is_disabled(&self, endpoint: &EndpointId) -> bool {
        self.balancer.is_disabled(endpoint)
    }

    /// The endpoints that the operators have disabled.
    pub fn disabled_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.balancer.disabled_endpoints()
    }

    /// Whether callers may be sent here: an endpoint is known that takes work, and the sidecar does not stop.
    pub fn is_ready(&self) -> bool {
        let waits_for_list = self
            .first_list_due
            .is_some_and(|due| self.clock.now() < due);
        self.subscription
            .membership()
            .serving()
            .any(|endpoint| !self.is_disabled(endpoint))
            && self.last_answer.is_none()
            && !waits_for_list
            && self.callers.drain_state().is_none()
    }

    /// How many endpoints are listed, and how many of them get nothing now.
    pub fn member_counts(&self) -> MemberCounts {
        MemberCounts {
            listed: self.subscription.membership().len(),
            unavailable: self.balancer_status().unavailable,
        }
    }
}
