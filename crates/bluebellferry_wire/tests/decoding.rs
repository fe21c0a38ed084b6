//! Decoding of frames, messages and SQL text from callers and databases,
//! including malformed input.

use bluebellferry_wire::frame;
use bluebellferry_wire::message;
use bluebellferry_wire::reader;
use bluebellferry_wire::statement;
use bytes::BytesMut;
use proptest::prelude::*;

fn statement_texts(sql: &str) -> Vec<&str> {
    statement::split_statements(sql)
        .into_iter()
        .map(|statement| statement.text)
        .collect()
}

#[test]
fn statements_end_only_at_top_level_semicolons() {
    assert_eq!(
        statement_texts("SELECT 1; SELECT 2;"),
        ["SELECT 1", "SELECT 2"]
    );
    assert_eq!(statement_texts("SELECT ';' ; x"), ["SELECT ';'", "x"]);
    assert_eq!(statement_texts("SELECT 'it''s;'"), ["SELECT 'it''s;'"]);
    assert_eq!(
        statement_texts("SELECT E'\\';'; y"),
        ["SELECT E'\\';'", "y"]
    );
    assert_eq!(statement_texts("SELECT \"a;b\""), ["SELECT \"a;b\""]);
    assert_eq!(
        statement_texts("DO $x$ a; b $x$; z"),
        ["DO $x$ a; b $x$", "z"]
    );
    assert_eq!(statement_texts("SELECT $1; z"), ["SELECT $1", "z"]);
    assert_eq!(statement_texts("-- a; b\nSELECT 1"), ["SELECT 1"]);
    assert_eq!(
        statement_texts("/* a; /* b; */ c; */ SELECT 1"),
        ["SELECT 1"]
    );
    assert_eq!(statement_texts(" ;; "), Vec::<&str>::new());
}

#[test]
fn leading_words_skip_comments_and_case() {
    let statements = statement::split_statements("/* x */ begin -- y\n read only");
    assert_eq!(statements[0].leading_words(3), "BEGIN READ ONLY");
}

#[test]
fn rewrite_bind_replaces_the_statement_name_only() -> Result<(), frame::FrameError> {
    let mut bytes = BytesMut::from(&b"B\0\0\0\x13port\0old\0\0\0\0\0\0\0"[..]);
    let bind = frame::take_frame(&mut bytes, 100)?.expect("the frame is complete");
    assert_eq!(message::bind_statement_name(&bind)?, "old");
    let rewritten = message::rewrite_bind(&bind, "a_longer_name")?;
    let mut bytes = BytesMut::from(&rewritten[..]);
    let rewritten = frame::take_frame(&mut bytes, 100)?.expect("the frame is complete");
    assert_eq!(message::bind_statement_name(&rewritten)?, "a_longer_name");
    assert!(rewritten.body().starts_with(b"port\0"));
    assert!(rewritten.body().ends_with(&[0, 0, 0, 0, 0, 0]));
    Ok(())
}

#[tokio::test]
async fn long_frames_arrive_in_chunks_and_truncation_is_an_error() {
    let mut bytes = vec![b'D'];
    bytes.extend_from_slice(&100_004_u32.to_be_bytes());
    bytes.extend(std::iter::repeat_n(7, 100_000));
    bytes.extend_from_slice(b"Z\0\0\0\x05I");
    let mut reader = reader::FrameReader::new(&bytes[..], BytesMut::new());
    let mut byte_count = 0;
    let mut frame_count = 0;
    while let Ok(Some(chunk)) = reader.next_chunk(1_000).await {
        byte_count += chunk.bytes.len();
        frame_count += usize::from(chunk.is_last);
    }
    assert_eq!((byte_count, frame_count), (bytes.len(), 2));
    let mut reader = reader::FrameReader::new(&bytes[..50], BytesMut::new());
    let mut result = reader.next_chunk(1_000).await;
    while let Ok(Some(_)) = result {
        result = reader.next_chunk(1_000).await;
    }
    assert!(matches!(result, Err(reader::ReadError::Truncated)));
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(frame)) = frame::take_frame(&mut buffer, 200) {
            prop_assert!(frame.bytes.len() <= 200);
            message::query_text(&frame).ok();
            message::bind_statement_name(&frame).ok();
            message::rewrite_bind(&frame, "name").ok();
            message::ErrorFields::from_frame(&frame).ok();
        }
        frame::take_startup(&mut BytesMut::from(&bytes[..])).ok();
    }

    #[test]
    fn splitting_arbitrary_text_returns_parts_of_it(text in "\\PC{0,120}") {
        for statement in statement::split_statements(&text) {
            prop_assert!(text.contains(statement.text));
            prop_assert!(!statement.text.is_empty());
        }
        statement::leading_comment(&text);
    }
}
