//! Decoding of what callers and databases send, also when it is malformed.

use bluebellferry_wire::frame;
use bluebellferry_wire::message;
use bluebellferry_wire::reader;
use bluebellferry_wire::statement;
use bytes::BytesMut;
use proptest::prelude::*;

fn texts(sql: &str) -> Vec<&str> {
    statement::split_statements(sql)
        .into_iter()
        .map(|statement| statement.text)
        .collect()
}

#[test]
fn statements_end_only_at_top_level_semicolons() {
    assert_eq!(texts("SELECT 1; SELECT 2;"), ["SELECT 1", "SELECT 2"]);
    assert_eq!(texts("SELECT ';' ; x"), ["SELECT ';'", "x"]);
    assert_eq!(texts("SELECT 'it''s;'"), ["SELECT 'it''s;'"]);
    assert_eq!(texts("SELECT E'\\';'; y"), ["SELECT E'\\';'", "y"]);
    assert_eq!(texts("SELECT \"a;b\""), ["SELECT \"a;b\""]);
    assert_eq!(texts("DO $x$ a; b $x$; z"), ["DO $x$ a; b $x$", "z"]);
    assert_eq!(texts("SELECT $1; z"), ["SELECT $1", "z"]);
    assert_eq!(texts("-- a; b\nSELECT 1"), ["SELECT 1"]);
    assert_eq!(texts("/* a; /* b; */ c; */ SELECT 1"), ["SELECT 1"]);
    assert_eq!(texts(" ;; "), Vec::<&str>::new());
}

#[test]
fn leading_words_skip_comments_and_case() {
    let statements = statement::split_statements("/* x */ begin -- y\n read only");
    assert_eq!(statements[0].leading_words(3), "BEGIN READ ONLY");
}

#[test]
fn a_bind_is_renamed_and_keeps_its_values() -> Result<(), frame::FrameError> {
    let mut bytes = BytesMut::from(&b"B\0\0\0\x13port\0old\0\0\0\0\0\0\0"[..]);
    let bind = frame::take_frame(&mut bytes, 100)?.expect("a whole frame");
    assert_eq!(message::bind_statement_name(&bind)?, "old");
    let renamed = message::rewrite_bind(&bind, "a_longer_name")?;
    let mut bytes = BytesMut::from(&renamed[..]);
    let renamed = frame::take_frame(&mut bytes, 100)?.expect("a whole frame");
    assert_eq!(message::bind_statement_name(&renamed)?, "a_longer_name");
    assert!(renamed.body().starts_with(b"port\0"));
    assert!(renamed.body().ends_with(&[0, 0, 0, 0, 0, 0]));
    Ok(())
}

#[tokio::test]
async fn long_frames_come_in_pieces_and_truncated_ones_are_noticed() {
    let mut bytes = vec![b'D'];
    bytes.extend_from_slice(&100_004_u32.to_be_bytes());
    bytes.extend(std::iter::repeat_n(7, 100_000));
    bytes.extend_from_slice(b"Z\0\0\0\x05I");
    let mut reader = reader::FrameReader::new(&bytes[..], BytesMut::new());
    let mut length = 0;
    let mut lasts = 0;
    while let Ok(Some(piece)) = reader.next_chunk(1_000).await {
        length += piece.bytes.len();
        lasts += usize::from(piece.is_last);
    }
    assert_eq!((length, lasts), (bytes.len(), 2));
    let mut reader = reader::FrameReader::new(&bytes[..50], BytesMut::new());
    let mut last = reader.next_chunk(1_000).await;
    while let Ok(Some(_)) = last {
        last = reader.next_chunk(1_000).await;
    }
    assert!(matches!(last, Err(reader::ReadError::Truncated)));
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
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
    fn arbitrary_text_is_split_without_losing_its_place(text in "\\PC{0,120}") {
        for statement in statement::split_statements(&text) {
            prop_assert!(text.contains(statement.text));
            prop_assert!(!statement.text.is_empty());
        }
        statement::leading_comment(&text);
    }
}
