//! Converts the document types to the settings of the balancer, [`crate::policy::Settings`].

use super::error::SettingsDocumentError;
use super::types::{
    ClassDocument, DiscoveryModeDocument, IdempotencyDocument, KeyScopeDocument, LimitsDocument,
    PricesDocument, ReportingModeDocument, RulesDocument, SettingsDocument, TenantDocument,
    ValueBasisDocument, WeightSourceDocument,
};
use crate::policy::{
    Class, DiscoveryMode, Idempotency, KeyScope, Limits, PeerId, Prices, Reporting, Rules,
    Settings, Tenant, ValueBasis, WeightSource,
};
use std::time::Duration;

impl TryFrom<SettingsDocument> for Settings {
    type Error = SettingsDocumentError;

    fn try_from(document: SettingsDocument) -> Result<Self, SettingsDocumentError> {
        let classes = document.classes.into_iter().map(Class::try_from);
        let tenants = document.tenants.into_iter().map(Tenant::from);
        Ok(Settings {
            balancers: document.balancers,
            peer_id: PeerId(document.peer_id),
            zone: document.zone.as_str().into(),
            zones: document.zones.len(),
            tier: document.tier,
            tiers: document.tiers.len(),
            propagates_deadline: document.service.propagates_deadline,
            endpoints_cache_by_key: document.service.endpoints_cache_by_key,
            classes: classes.collect::<Result<_, _>>()?,
            tenants: tenants.collect(),
            over_share_value: document.over_share_value,
            limits: document.limits.into(),
            rules: document.rules.into(),
            prices: document.prices.into(),
            discovery: document.discovery.into(),
            weight_source: document.weight_source.unwrap_or_default().into(),
            reporting: document.reporting.mode.into(),
            value_basis: document.value_basis.unwrap_or_default().into(),
            clients_mark_retries: document.clients.mark_retries,
            tick: Duration::from_nanos(document.tick_ns),
        })
    }
}

impl TryFrom<ClassDocument> for Class {
    type Error = SettingsDocumentError;

    fn try_from(document: ClassDocument) -> Result<Self, SettingsDocumentError> {
        let idempotency = document.idempotency()?;
        Ok(Class {
            name: document.name,
            objective: Duration::from_nanos(document.objective_ns),
            objective_per_work: document.objective_per_work,
            deadline: Duration::from_nanos(document.deadline_ns),
            priority_weight: document.priority_weight,
            late_value: document.late_value,
            idempotency,
            stream: document.stream,
            is_key_ordered: document.is_key_ordered,
        })
    }
}

impl ClassDocument {
    fn idempotency(&self) -> Result<Idempotency, SettingsDocumentError> {
        match (&self.idempotency, &self.key_scope) {
            (IdempotencyDocument::Idempotent, _) => Ok(Idempotency::Idempotent),
            (IdempotencyDocument::Unsafe, _) => Ok(Idempotency::Unsafe),
            (IdempotencyDocument::Keyed, Some(scope)) => Ok(Idempotency::Keyed {
                scope: scope.into(),
                window: Duration::from_nanos(self.deduplication_window_ns),
            }),
            (IdempotencyDocument::Keyed, None) => Err(SettingsDocumentError::MissingKeyScope {
                class: self.name.clone(),
            }),
        }
    }
}

impl From<&KeyScopeDocument> for KeyScope {
    fn from(document: &KeyScopeDocument) -> Self {
        match document {
            KeyScopeDocument::All => KeyScope::All,
            KeyScopeDocument::Zone => KeyScope::Zone,
            KeyScopeDocument::Group => KeyScope::Group,
        }
    }
}

impl From<TenantDocument> for Tenant {
    fn from(document: TenantDocument) -> Self {
        Tenant {
            name: document.name,
            quota_share: document.quota_share,
            quota_per_s: document.quota_per_s,
        }
    }
}

impl From<LimitsDocument> for Limits {
    fn from(document: LimitsDocument) -> Self {
        Limits {
            cancel: document.cancel,
            health_checks: document.health_checks,
            peer_messages: document.peer_messages,
            parallel_attempts: document.parallel_attempts,
            retry_after: document.retry_after,
            max_retry_after: Duration::from_nanos(document.max_retry_after_ns),
            max_attempts: document.max_attempts,
            max_open_requests: document.max_open_requests,
            streams_per_connection: document.streams_per_connection,
            idle_timeout: Duration::from_nanos(document.idle_timeout_ns),
            connect_timeout: Duration::from_nanos(document.connect_timeout_ns),
        }
    }
}

impl From<RulesDocument> for Rules {
    fn from(document: RulesDocument) -> Self {
        Rules {
            answer_slack: Duration::from_nanos(document.answer_slack_ns),
            drain_grace: Duration::from_nanos(document.drain_grace_ns),
            poll_interval: Duration::from_nanos(document.poll_interval_ns),
            initial_capacity: document.initial_capacity,
            warm_up_time: Duration::from_nanos(document.warm_up_time_ns),
            overload_multiple: document.overload_multiple,
            overload_window: Duration::from_nanos(document.overload_window_ns),
            drain_close: document.drain_close_ns.map(Duration::from_nanos),
            key_cooldown: document.key_cooldown_ns.map(Duration::from_nanos),
        }
    }
}

impl From<PricesDocument> for Prices {
    fn from(document: PricesDocument) -> Self {
        Prices {
            cross_zone: document.cross_zone,
            waste: document.waste,
            health_check: document.health_check,
            peer: document.peer,
            handshake: document.handshake,
            connection: document.connection,
            late_fail: document.late_fail,
            discovery: document.discovery,
        }
    }
}

impl From<DiscoveryModeDocument> for DiscoveryMode {
    fn from(document: DiscoveryModeDocument) -> Self {
        match document {
            DiscoveryModeDocument::Pushed => DiscoveryMode::Pushed,
            DiscoveryModeDocument::OnRequest => DiscoveryMode::OnRequest,
        }
    }
}

impl From<WeightSourceDocument> for WeightSource {
    fn from(document: WeightSourceDocument) -> Self {
        match document {
            WeightSourceDocument::None => WeightSource::None,
            WeightSourceDocument::Nominal => WeightSource::Nominal,
            WeightSourceDocument::Rough => WeightSource::Rough,
            WeightSourceDocument::Live => WeightSource::Live,
        }
    }
}

impl From<ReportingModeDocument> for Reporting {
    fn from(document: ReportingModeDocument) -> Self {
        match document {
            ReportingModeDocument::WithResponses => Reporting::WithResponses,
            ReportingModeDocument::WithHealthChecks => Reporting::WithHealthChecks,
            ReportingModeDocument::Off => Reporting::Off,
        }
    }
}

impl From<ValueBasisDocument> for ValueBasis {
    fn from(document: ValueBasisDocument) -> Self {
        match document {
            ValueBasisDocument::Request => ValueBasis::Request,
            ValueBasisDocument::Work => ValueBasis::Work,
        }
    }
}
