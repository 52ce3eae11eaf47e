//! The handling of each event.

use super::action::Action;
use super::balancer::Balancer;
use super::event::Event;
use super::time::Timestamp;

impl Balancer {
    /// Handles one event, and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.arrival_rate.observe_from(now);
        self.in_flight.remove_expired(&mut self.endpoints, now);
        self.key_order.remove_expired_cooldowns(now);
        self.dispatch(now, event, actions);
        self.send_health_checks(now, actions);
        self.send_queued_requests(now, actions);
        self.set_timer(now, actions);
    }

    fn dispatch(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { kind, entries, .. } => {
                self.update_endpoints(now, kind, &entries, actions);
            }
            Event::EndpointsRemoved { entries } => self.apply_entries(now, &entries, actions),
            Event::DiscoveryFailed => self.discovery_failed(now),
            Event::WatchSilent => self.watch_silent(now),
            Event::DiscoveryUnreachable => self.discovery_schedule.missed_by_silence = false,
            Event::DiscoveryRejected => self.discovery_rejected(now),
            Event::DiscoverySlow => self.discovery_reached(now),
            Event::ListConfirmed => self.list_confirmed(now, actions),
            Event::ListUnconfirmed { since } => {
                self.discovery_schedule.last_received_at = Some(since);
                self.list_unconfirmed(now, since, actions);
            }
            Event::ProcessEnded { endpoint } => self.process_ended(now, &endpoint, actions),
            Event::KnownProcessesReported { endpoints } => {
                self.suspend_unknown_processes(now, &endpoints, actions);
            }
            Event::EndpointDisabled(endpoint) => self.disable(now, endpoint, actions),
            Event::EndpointEnabled(endpoint) => self.enable(now, &endpoint),
            Event::Request(request) if self.is_valid(&request) => self.admit(now, request, actions),
            Event::StreamStarted { request, attempt } => {
                self.finish_request(&request, Some(attempt), actions);
            }
            Event::BodyConsumed { request } => self.body_consumed(&request),
            Event::ClientDisconnected { request } => self.finish_request(&request, None, actions),
            Event::AttemptEnded(ended) => self.attempt_ended(now, &ended, actions),
            Event::Timer { token } => self.timer_expired(token),
            Event::HealthCheckEnded {
                endpoint,
                outcome,
                report,
                ..
            } => {
                self.health_check_ended(now, &endpoint, outcome, report.as_ref());
            }
            Event::Request(_) | Event::PeerMessage { .. } => {}
        }
    }
}
