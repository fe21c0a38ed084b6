//! Finds fields in JSON text without decoding their values, so that values are kept as written.

/// Returns the raw value of a field of an object.
pub fn field<'a>(object: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let mut at = skip_space(object, 0);
    if object.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(object, at);
        if object.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = skip_string(object, at)?;
        let key = &object[at + 1..key_end - 1];
        at = skip_space(object, key_end);
        if object.get(at) != Some(&b':') {
            return None;
        }
        let start = skip_space(object, at + 1);
        let end = skip_value(object, start)?;
        if key == name.as_bytes() {
            return Some(&object[start..end]);
        }
        at = skip_space(object, end);
        if object.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

/// Returns a field that holds a string without escapes.
pub fn string(object: &[u8], name: &str) -> Option<String> {
    let raw = field(object, name)?;
    let inner = raw.strip_prefix(b"\"")?.strip_suffix(b"\"")?;
    String::from_utf8(inner.to_vec()).ok()
}

/// Returns a field that holds a whole number.
pub fn number(object: &[u8], name: &str) -> Option<u64> {
    std::str::from_utf8(field(object, name)?).ok()?.parse().ok()
}

fn skip_space(text: &[u8], mut at: usize) -> usize {
    while text.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn skip_string(text: &[u8], mut at: usize) -> Option<usize> {
    at += 1;
    loop {
        match text.get(at)? {
            b'\\' => at += 2,
            b'"' => return Some(at + 1),
            _ => at += 1,
        }
    }
}

fn skip_value(text: &[u8], mut at: usize) -> Option<usize> {
    let mut depth = 0;
    loop {
        match text.get(at)? {
            b'"' => {
                at = skip_string(text, at)?;
                if depth == 0 {
                    return Some(at);
                }
            }
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' => {
                if depth == 0 {
                    return Some(at);
                }
                depth -= 1;
                at += 1;
                if depth == 0 {
                    return Some(at);
                }
            }
            b',' if depth == 0 => return Some(at),
            byte if depth == 0 && byte.is_ascii_whitespace() => return Some(at),
            _ => {
                at += 1;
                if depth == 0 && at == text.len() {
                    return Some(at);
                }
            }
        }
    }
}
