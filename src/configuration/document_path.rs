//! Paths of settings: from the names in the decision module to the keys in the configuration.

/// The names of settings in the decision module, and the document's where they differ.
const DOCUMENT_NAMES: [(&str, &str); 31] = [
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
/// A part of the decision module's paths that the document does not have.
const INNER: &str = "idempotency.";

/// The path in the document of a setting that the decision module names, such as `categories[0].worth` of
/// `classes[0].worth`.
#[must_use]
pub fn document_path(field: &str) -> String {
    let name_of = |name: &str| {
        let known = DOCUMENT_NAMES.iter().find(|(setting, _)| *setting == name);
        known.map_or_else(|| name.to_owned(), |(_, document)| (*document).to_owned())
    };
    let field = field.replace(INNER, "");
    let segments = field
        .split('.')
        .map(|segment| match segment.split_once('[') {
            Some((name, position)) => format!("{}[{position}", name_of(name)),
            None => name_of(segment),
        });
    segments.collect::<Vec<_>>().join(".")
}
