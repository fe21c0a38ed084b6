//! SQL values between PostgreSQL's text and binary formats and SQLite.

use rusqlite::types;
use serde::Deserialize;
use serde::Serialize;

/// PostgreSQL's type number of `bool`.
pub const BOOL: u32 = 16;
/// PostgreSQL's type number of `bytea`.
pub const BYTEA: u32 = 17;
/// PostgreSQL's type number of `int8`.
pub const INT8: u32 = 20;
/// PostgreSQL's type number of `int2`.
pub const INT2: u32 = 21;
/// PostgreSQL's type number of `int4`.
pub const INT4: u32 = 23;
/// PostgreSQL's type number of `text`.
pub const TEXT: u32 = 25;
/// PostgreSQL's type number of `float4`.
pub const FLOAT4: u32 = 700;
/// PostgreSQL's type number of `float8`.
pub const FLOAT8: u32 = 701;
/// PostgreSQL's type number of `varchar`.
pub const VARCHAR: u32 = 1043;

/// A value as it is kept in the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SqlValue {
    /// NULL.
    Null,
    /// An integer.
    Integer(i64),
    /// A floating-point number.
    Real(f64),
    /// A text.
    Text(String),
    /// Bytes.
    Blob(Vec<u8>),
}

impl rusqlite::ToSql for SqlValue {
    fn to_sql(&self) -> rusqlite::Result<types::ToSqlOutput<'_>> {
        Ok(match self {
            Self::Null => types::Null.into(),
            Self::Integer(number) => (*number).into(),
            Self::Real(number) => (*number).into(),
            Self::Text(text) => text.as_str().into(),
            Self::Blob(bytes) => bytes.as_slice().into(),
        })
    }
}

impl From<types::ValueRef<'_>> for SqlValue {
    fn from(value: types::ValueRef<'_>) -> Self {
        match value {
            types::ValueRef::Null => Self::Null,
            types::ValueRef::Integer(number) => Self::Integer(number),
            types::ValueRef::Real(number) => Self::Real(number),
            types::ValueRef::Text(text) => Self::Text(String::from_utf8_lossy(text).into_owned()),
            types::ValueRef::Blob(bytes) => Self::Blob(bytes.to_vec()),
        }
    }
}

/// Maps a column's declared type to PostgreSQL's type number.
pub fn declared_type_oid(declaration: &str) -> u32 {
    let declaration = declaration.to_ascii_lowercase();
    let has = |part: &str| declaration.contains(part);
    if has("bool") {
        BOOL
    } else if has("bigint") || has("int8") {
        INT8
    } else if has("int") {
        // SQLite keeps every integer in 64 bits, PostgreSQL's `int` is narrower.
        if declaration == "integer" || declaration == "int" {
            INT4
        } else {
            INT8
        }
    } else if has("real") || has("floa") || has("doub") || has("numeric") {
        FLOAT8
    } else if has("blob") || has("bytea") {
        BYTEA
    } else {
        TEXT
    }
}

/// Maps a value that has no declared type to PostgreSQL's type number.
pub const fn value_type_oid(value: &SqlValue) -> u32 {
    match value {
        SqlValue::Integer(_) => INT8,
        SqlValue::Real(_) => FLOAT8,
        SqlValue::Blob(_) => BYTEA,
        SqlValue::Null | SqlValue::Text(_) => TEXT,
    }
}

/// Renders a value as text, as `psql` would show it.
pub fn render_text(value: &SqlValue, type_oid: u32) -> Option<String> {
    match value {
        SqlValue::Null => None,
        SqlValue::Integer(number) if type_oid == BOOL => {
            Some(if *number == 0 { "f" } else { "t" }.to_owned())
        }
        SqlValue::Integer(number) => Some(number.to_string()),
        SqlValue::Real(number) => Some(number.to_string()),
        SqlValue::Text(text) => Some(text.clone()),
        SqlValue::Blob(bytes) => {
            let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            Some(format!("\\x{digits}"))
        }
    }
}

/// Renders a value in PostgreSQL's binary format.
pub fn render_binary(value: &SqlValue, type_oid: u32) -> Option<Vec<u8>> {
    let integer = match value {
        SqlValue::Null => return None,
        SqlValue::Blob(bytes) => return Some(bytes.clone()),
        SqlValue::Integer(number) => *number,
        SqlValue::Real(number) => *number as i64,
        SqlValue::Text(text) => text.parse().unwrap_or(0),
    };
    Some(match type_oid {
        BOOL => vec![u8::from(integer != 0)],
        INT2 => (integer as i16).to_be_bytes().to_vec(),
        INT4 => (integer as i32).to_be_bytes().to_vec(),
        INT8 => integer.to_be_bytes().to_vec(),
        FLOAT4 => (to_float(value) as f32).to_be_bytes().to_vec(),
        FLOAT8 => to_float(value).to_be_bytes().to_vec(),
        _ => render_text(value, type_oid)?.into_bytes(),
    })
}

fn to_float(value: &SqlValue) -> f64 {
    match value {
        SqlValue::Integer(number) => *number as f64,
        SqlValue::Real(number) => *number,
        SqlValue::Text(text) => text.parse().unwrap_or(0.0),
        SqlValue::Null | SqlValue::Blob(_) => 0.0,
    }
}

/// Reads a bound parameter.
///
/// # Errors
/// Returns a description when the bytes do not fit the type.
pub fn parse_parameter(bytes: &[u8], binary: bool, type_oid: u32) -> Result<SqlValue, String> {
    if binary {
        return parse_binary(bytes, type_oid);
    }
    let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
    Ok(match type_oid {
        INT2 | INT4 | INT8 => SqlValue::Integer(
            text.trim()
                .parse()
                .map_err(|_| format!("'{text}' is no integer"))?,
        ),
        FLOAT4 | FLOAT8 => SqlValue::Real(
            text.trim()
                .parse()
                .map_err(|_| format!("'{text}' is no number"))?,
        ),
        BOOL => SqlValue::Integer(i64::from(matches!(text, "t" | "true" | "1" | "on"))),
        _ => SqlValue::Text(text.to_owned()),
    })
}

fn parse_binary(bytes: &[u8], type_oid: u32) -> Result<SqlValue, String> {
    let size_error = |_| format!("{} bytes do not fit type {type_oid}", bytes.len());
    Ok(match type_oid {
        BOOL => SqlValue::Integer(i64::from(bytes == [1])),
        INT2 => SqlValue::Integer(i16::from_be_bytes(bytes.try_into().map_err(size_error)?).into()),
        INT4 => SqlValue::Integer(i32::from_be_bytes(bytes.try_into().map_err(size_error)?).into()),
        INT8 => SqlValue::Integer(i64::from_be_bytes(bytes.try_into().map_err(size_error)?)),
        FLOAT4 => SqlValue::Real(f32::from_be_bytes(bytes.try_into().map_err(size_error)?).into()),
        FLOAT8 => SqlValue::Real(f64::from_be_bytes(bytes.try_into().map_err(size_error)?)),
        BYTEA => SqlValue::Blob(bytes.to_vec()),
        _ => SqlValue::Text(
            std::str::from_utf8(bytes)
                .map_err(|error| error.to_string())?
                .to_owned(),
        ),
    })
}
