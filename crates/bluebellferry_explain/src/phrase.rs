//! Formatting of numbers, durations and lists of names for the sentences.

use std::time::Duration;

/// Formats a whole number without decimals and any other number with one.
pub fn format_number(value: f64) -> String {
    if value.fract() == 0.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.1}")
    }
}

/// Formats a duration in thousandths of a second, seconds or minutes, depending
/// on its length.
pub fn format_duration(duration: Duration) -> String {
    let millis = duration.as_millis();
    match millis {
        0 => "no time at all".to_owned(),
        1..1_000 => format!("{millis} thousandths of a second"),
        1_000..120_000 => {
            let seconds = format_number(duration.as_secs_f64());
            if seconds == "1" {
                "1 second".to_owned()
            } else {
                format!("{seconds} seconds")
            }
        }
        _ => format!("{} minutes", format_number(duration.as_secs_f64() / 60.0)),
    }
}

/// Joins names with commas and a final "and".
pub fn join_names(names: &[&str]) -> String {
    match names {
        [] => "nothing".to_owned(),
        [one] => (*one).to_owned(),
        [most @ .., last] => format!("{} and {last}", most.join(", ")),
    }
}
