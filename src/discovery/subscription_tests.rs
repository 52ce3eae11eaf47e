//! Tests of a subscription that moves to another discovery service.

use super::error::StaleListError;
use super::list::EndpointList;
use super::subscription::{ListOrigin, SourceChange, Subscription};
use std::net::SocketAddr;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn full_list(version: u64) -> EndpointList {
    EndpointList {
        version,
        is_full: true,
        endpoints: Vec::new(),
    }
}

/// Guards against lost changes during a move. Lists of the previous source must apply until the current one has sent a
/// list, and no longer.
#[test]
fn previous_source_applies_until_the_first_current_list() {
    let mut subscription = Subscription::new(address(1));
    let previous = subscription.source();
    assert_eq!(
        subscription.accept(previous, &mut full_list(5)),
        Ok(ListOrigin::Current)
    );

    assert_eq!(subscription.move_to(address(2)), SourceChange::Moved);
    let current = subscription.source();
    assert_eq!(
        subscription.accept(previous, &mut full_list(6)),
        Ok(ListOrigin::Previous)
    );
    assert_eq!(
        subscription.accept(current, &mut full_list(1)),
        Ok(ListOrigin::Current)
    );
    assert_eq!(
        subscription.accept(previous, &mut full_list(7)),
        Ok(ListOrigin::Superseded)
    );
    assert_eq!(subscription.known_version(current), Some(1));
    assert_eq!(subscription.known_version(previous), None);
}

/// Guards against a version of the previous source that is used for the current one. After a move, no version must be
/// known.
#[test]
fn version_is_unknown_after_a_move() {
    let mut subscription = Subscription::new(address(1));
    let previous = subscription.source();
    assert!(subscription.accept(previous, &mut full_list(5)).is_ok());
    subscription.move_to(address(2));
    assert_eq!(subscription.known_version(subscription.source()), None);
}

/// Guards a reload that names the same discovery service. The source and the version must stay.
#[test]
fn move_to_the_same_address_changes_nothing() {
    let mut subscription = Subscription::new(address(1));
    let source = subscription.source();
    assert!(subscription.accept(source, &mut full_list(5)).is_ok());
    assert_eq!(subscription.move_to(address(1)), SourceChange::Unchanged);
    assert_eq!(subscription.source(), source);
    assert_eq!(subscription.known_version(source), Some(5));
}

/// Guards against a discovery service that sends an old list. The list must be rejected, and the version must stay.
#[test]
fn stale_list_of_the_current_source_is_rejected() {
    let mut subscription = Subscription::new(address(1));
    let source = subscription.source();
    assert!(subscription.accept(source, &mut full_list(5)).is_ok());
    assert_eq!(
        subscription.accept(source, &mut full_list(4)),
        Err(StaleListError)
    );
    assert_eq!(subscription.known_version(source), Some(5));
}
