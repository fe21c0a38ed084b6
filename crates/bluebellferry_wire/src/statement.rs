//! A minimal SQL lexer that finds comments, statement ends and leading keywords
//! without parsing the statements.

/// One statement of a query string.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatementText<'a> {
    /// The SQL text, without the whitespace and comments before it.
    pub text: &'a str,
}

impl<'a> StatementText<'a> {
    /// Returns the leading words in upper case, separated by single spaces: at
    /// most `max_count` words, up to the first token that is not a word.
    pub fn leading_words(&self, max_count: usize) -> String {
        let mut words = String::new();
        let mut rest = self.text;
        for index in 0..max_count {
            rest = skip_whitespace_and_comments(rest);
            let is_word = |c: char| c.is_ascii_alphanumeric() || c == '_';
            let end = rest.find(|c| !is_word(c)).unwrap_or(rest.len());
            if end == 0 {
                break;
            }
            if index > 0 {
                words.push(' ');
            }
            words.push_str(&rest[..end].to_ascii_uppercase());
            rest = &rest[end..];
        }
        words
    }
}

/// Returns the text after its leading whitespace and comments.
pub fn skip_whitespace_and_comments(text: &str) -> &str {
    let mut rest = text;
    loop {
        rest = rest.trim_start();
        if let Some(comment) = rest.strip_prefix("--") {
            rest = comment.find('\n').map_or("", |end| &comment[end + 1..]);
        } else if rest.starts_with("/*") {
            rest = &rest[block_comment_end(rest)..];
        } else {
            return rest;
        }
    }
}

/// Returns the contents of the block comment at the start of the text, if there
/// is one; whitespace may come before it.
pub fn leading_comment(text: &str) -> Option<&str> {
    let rest = text.trim_start();
    if !rest.starts_with("/*") {
        return None;
    }
    let end = block_comment_end(rest);
    rest[..end]
        .strip_prefix("/*")
        .and_then(|body| body.strip_suffix("*/"))
}

/// Returns the index after the block comment at the start of `text`, which may
/// be nested, or the text's length if the comment is not closed.
fn block_comment_end(text: &str) -> usize {
    let bytes = text.as_bytes();
    let mut depth = 0;
    let mut index = 0;
    while index < bytes.len() {
        if bytes[index..].starts_with(b"/*") {
            depth += 1;
            index += 2;
        } else if bytes[index..].starts_with(b"*/") {
            depth -= 1;
            index += 2;
            if depth == 0 {
                return index;
            }
        } else {
            index += 1;
        }
    }
    text.len()
}

/// Splits a query string at the semicolons outside of quotes and comments, and
/// leaves out empty statements.
pub fn split_statements(text: &str) -> Vec<StatementText<'_>> {
    let mut statements = Vec::new();
    let mut rest = skip_whitespace_and_comments(text);
    while !rest.is_empty() {
        let end = statement_end(rest);
        let statement = rest[..end].trim_end();
        if !statement.is_empty() {
            statements.push(StatementText { text: statement });
        }
        rest = skip_whitespace_and_comments(rest.get(end + 1..).unwrap_or(""));
    }
    statements
}

/// Returns the index of the first semicolon outside of quotes and comments, or
/// the text's length if there is none.
fn statement_end(text: &str) -> usize {
    let bytes = text.as_bytes();
    let mut index = 0;
    while index < bytes.len() {
        index += match bytes[index] {
            b';' => return index,
            b'\'' if is_escape_string(bytes, index) => escape_string_length(&bytes[index..]),
            b'\'' | b'"' => quoted_length(&bytes[index..]),
            b'$' => dollar_quoted_length(text, index),
            b'-' if bytes[index..].starts_with(b"--") => line_comment_length(&bytes[index..]),
            b'/' if bytes[index..].starts_with(b"/*") => block_comment_end(&text[index..]),
            _ => 1,
        };
    }
    text.len()
}

/// Returns whether the quote at `index` opens an `E'...'` string, in which a
/// backslash escapes the next character.
fn is_escape_string(bytes: &[u8], index: usize) -> bool {
    let has_e_prefix = index > 0 && matches!(bytes[index - 1], b'e' | b'E');
    let prefix_ends_word =
        index > 1 && (bytes[index - 2].is_ascii_alphanumeric() || bytes[index - 2] == b'_');
    has_e_prefix && !prefix_ends_word
}

fn quoted_length(bytes: &[u8]) -> usize {
    let quote = bytes[0];
    let end = bytes[1..].iter().position(|byte| *byte == quote);
    end.map_or(bytes.len(), |end| end + 2)
}

fn escape_string_length(bytes: &[u8]) -> usize {
    let mut index = 1;
    while index < bytes.len() {
        match bytes[index] {
            b'\\' => index += 2,
            b'\'' => return index + 1,
            _ => index += 1,
        }
    }
    bytes.len()
}

fn line_comment_length(bytes: &[u8]) -> usize {
    let end = bytes.iter().position(|byte| *byte == b'\n');
    end.map_or(bytes.len(), |end| end + 1)
}

fn dollar_quoted_length(text: &str, start: usize) -> usize {
    let rest = &text[start..];
    let Some(tag_end) = rest[1..].find('$') else {
        return 1;
    };
    let tag = &rest[..tag_end + 2];
    let name = &tag[1..tag.len() - 1];
    let is_valid_tag = name.chars().all(|c| c.is_alphanumeric() || c == '_')
        && !name.starts_with(|c: char| c.is_ascii_digit());
    if !is_valid_tag {
        return 1;
    }
    rest[tag.len()..]
        .find(tag)
        .map_or(rest.len(), |end| end + 2 * tag.len())
}
