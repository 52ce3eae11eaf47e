//! Converts paths of fields in the balancer's settings to paths of keys in the settings document.

/// The fields of the balancer's settings whose key in the document has another name, each with that key.
const RENAMED_KEYS: [(&str, &str); 31] = [
    ("classes", "categories"),
    ("objective_per_work", "aimStretch"),
    ("objective", "objectiveNs"),
    ("deadline", "hardLimitNs"),
    ("window", "memorySpanNs"),
    ("late_value", "lateShare"),
    ("priority_weight", "worth"),
    ("tenants", "customers"),
    ("quota_share", "portion"),
    ("quota_per_s", "quotaPerS"),
    ("over_share_value", "overShareWorth"),
    ("tick", "granularityNs"),
    ("limits", "bounds"),
    ("max_retry_after", "maxRetryAfterNs"),
    ("idle_timeout", "connIdleNs"),
    ("connect_timeout", "connectTimeoutNs"),
    ("max_attempts", "sendCap"),
    ("answer_slack", "answerSlackNs"),
    ("drain_grace", "drainGraceNs"),
    ("poll_interval", "askWithinNs"),
    ("initial_capacity", "coldFrom"),
    ("warm_up_time", "warmWithinNs"),
    ("overload_multiple", "fallMultiple"),
    ("overload_window", "fallNs"),
    ("drain_close", "drainCloseNs"),
    ("key_cooldown", "orderPauseNs"),
    ("prices", "fees"),
    ("cross_zone", "crossZone"),
    ("late_fail", "lateFail"),
    ("health_checks", "probes"),
    ("health_check", "probe"),
];
/// The prefix of the fields inside a class's idempotency. In the document, they are direct keys of the class.
const FLATTENED_FIELD: &str = "idempotency.";

/// Returns the path in the settings document of a field of the balancer's settings.
///
/// For example, `classes[0].priority_weight` becomes `categories[0].worth`.
#[must_use]
pub fn document_key_path(field_path: &str) -> String {
    let flattened = field_path.replace(FLATTENED_FIELD, "");
    let segments: Vec<String> = flattened.split('.').map(document_segment).collect();
    segments.join(".")
}

fn document_segment(segment: &str) -> String {
    match segment.split_once('[') {
        Some((field, position)) => format!("{}[{position}", document_key(field)),
        None => document_key(segment).to_owned(),
    }
}

fn document_key(field: &str) -> &str {
    RENAMED_KEYS
        .iter()
        .find(|(renamed, _)| *renamed == field)
        .map_or(field, |(_, key)| key)
}
