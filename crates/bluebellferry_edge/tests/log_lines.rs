//! What log lines quote of callers' texts.

use bluebellferry_edge::traffic::log_limiter;

// Guards against log lines as long as a message: ids and routes of callers were quoted whole.
#[test]
fn texts_of_callers_are_quoted_with_a_bounded_length() {
    for text in ["", "5c0e7a21d94b36f8", "\u{e9}t\u{e9}"] {
        assert_eq!(log_limiter::excerpt(text), text);
    }
    for character in ["x", "\u{e9}", "\u{1f6b2}"] {
        let excerpt = character.repeat(64);
        let text = character.repeat(1 << 18);
        assert_eq!(log_limiter::excerpt(&text), excerpt);
    }
}
