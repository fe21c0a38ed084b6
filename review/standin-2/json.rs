//! Just enough JSON for the store: the raw text of a field of an object.

/// Returns the end of the value that starts at `start`.
fn value_end(text: &[u8], start: usize) -> usize {
    let (mut depth, mut in_string, mut index) = (0_i32, false, start);
    while index < text.len() {
        let byte = text[index];
        if in_string {
            match byte {
                b'\\' => index += 1,
                b'"' => in_string = false,
                _ => {}
            }
            if !in_string && depth == 0 {
                return index + 1;
            }
        } else {
            match byte {
                b'"' => in_string = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return index,
                b'}' | b']' => {
                    depth -= 1;
                    if depth == 0 {
                        return index + 1;
                    }
                }
                b',' if depth == 0 => return index,
                _ => {}
            }
        }
        index += 1;
    }
    index
}

fn skip_blanks(text: &[u8], mut index: usize) -> usize {
    while index < text.len() && text[index].is_ascii_whitespace() {
        index += 1;
    }
    index
}

/// Returns the raw text of a field at the top level of a JSON object.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let text = object.as_bytes();
    let mut index = skip_blanks(text, 0);
    if text.get(index) != Some(&b'{') {
        return None;
    }
    index += 1;
    loop {
        index = skip_blanks(text, index);
        if text.get(index) != Some(&b'"') {
            return None;
        }
        let key_end = value_end(text, index);
        let key = &object[index + 1..key_end - 1];
        index = skip_blanks(text, key_end);
        if text.get(index) != Some(&b':') {
            return None;
        }
        let start = skip_blanks(text, index + 1);
        let end = value_end(text, start);
        if key == name {
            return Some(object[start..end].trim());
        }
        index = skip_blanks(text, end);
        if text.get(index) != Some(&b',') {
            return None;
        }
        index += 1;
    }
}

/// Returns a text field without its quotes. The names in use contain no escapes.
pub fn text<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    field(object, name)?.strip_prefix('"')?.strip_suffix('"')
}

pub fn number(object: &str, name: &str) -> Option<u64> {
    field(object, name)?.parse().ok()
}
