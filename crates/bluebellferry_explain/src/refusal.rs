//! Explanation of refused requests: the reason, whether the request took effect,
//! and when to retry.

use std::time::Duration;

use bluebellferry_types::refusal;

use crate::phrase;

/// Explains a reason code such as `rate_exceeded`; returns `None` if the code is
/// unknown.
pub fn explain_reason(code: &str) -> Option<String> {
    let reason = refusal::RefusalReason::ALL
        .iter()
        .find(|reason| reason.code() == code)?;
    Some(reason.sentence().to_owned())
}

/// Explains the DETAIL field of the error that callers receive with a refusal;
/// returns `None` if `detail` has no known `reason` or no `execution` field.
pub fn explain_detail(detail: &str) -> Option<String> {
    let field = |name: &str| {
        let mut words = detail.split_whitespace();
        words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
    };
    let reason = explain_reason(field("reason")?)?;
    let effect = match field("execution")? {
        "not_run" => "Nothing was changed by this request.",
        "ran" => "The request did take effect.",
        _ => "The request may or may not have taken effect, so check before sending it again.",
    };
    let retry = field("retry_after_ms").and_then(|millis| millis.parse().ok());
    let advice = match retry {
        Some(millis) => {
            let wait = phrase::format_duration(Duration::from_millis(millis));
            format!("It is worth trying again after {wait}.")
        }
        None => "Sending the same request again will not help.".to_owned(),
    };
    Some(format!("{reason} {effect} {advice}"))
}
