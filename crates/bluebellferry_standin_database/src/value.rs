//! SQL values, converted between SQLite and PostgreSQL's text and binary formats.

use rusqlite::types;
use serde::Deserialize;
use serde::Serialize;

/// The OID of PostgreSQL's type `bool`.
pub const BOOL: u32 = 16;
/// The OID of PostgreSQL's type `bytea`.
pub const BYTEA: u32 = 17;
/// The OID of PostgreSQL's type `int8`.
pub const INT8: u32 = 20;
/// The OID of PostgreSQL's type `int2`.
pub const INT2: u32 = 21;
/// The OID of PostgreSQL's type `int4`.
pub const INT4: u32 = 23;
/// The OID of PostgreSQL's type `text`.
pub const TEXT: u32 = 25;
/// The OID of PostgreSQL's type `float4`.
pub const FLOAT4: u32 = 700;
/// The OID of PostgreSQL's type `float8`.
pub const FLOAT8: u32 = 701;
/// The OID of PostgreSQL's type `varchar`.
pub const VARCHAR: u32 = 1043;

/// A column or parameter value, as SQLite stores it and the replicated log contains it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SqlValue {
    /// SQL NULL.
    Null,
    /// An integer; SQLite also stores booleans as integers, 0 for false.
    Integer(i64),
    /// A floating-point number.
    Real(f64),
    /// A text, also for types without a variant of their own.
    Text(String),
    /// The bytes of a `bytea`.
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

/// Returns the OID of the PostgreSQL type for a column's declared type; `text` if the declared
/// type is unknown.
pub fn declared_type_oid(declaration: &str) -> u32 {
    let declaration = declaration.to_ascii_lowercase();
    let contains = |type_name: &str| declaration.contains(type_name);
    if contains("bool") {
        BOOL
    } else if contains("bigint") || contains("int8") {
        INT8
    } else if contains("int") {
        // SQLite stores every integer in 64 bits, but PostgreSQL's `int` has 32.
        if declaration == "integer" || declaration == "int" {
            INT4
        } else {
            INT8
        }
    } else if contains("real") || contains("floa") || contains("doub") || contains("numeric") {
        FLOAT8
    } else if contains("blob") || contains("bytea") {
        BYTEA
    } else {
        TEXT
    }
}

/// Returns the OID of the PostgreSQL type for a value without a declared type.
pub const fn value_type_oid(value: &SqlValue) -> u32 {
    match value {
        SqlValue::Integer(_) => INT8,
        SqlValue::Real(_) => FLOAT8,
        SqlValue::Blob(_) => BYTEA,
        SqlValue::Null | SqlValue::Text(_) => TEXT,
    }
}

/// Renders a value in PostgreSQL's text format; `None` for NULL.
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
            let hex_digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            Some(format!("\\x{hex_digits}"))
        }
    }
}

/// Renders a value in PostgreSQL's binary format for the type; `None` for NULL.
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

/// Parses a parameter of a Bind message, in text or binary format.
///
/// # Errors
/// Returns a description of the error if the bytes are invalid for the type.
pub fn parse_parameter(bytes: &[u8], is_binary: bool, type_oid: u32) -> Result<SqlValue, String> {
    if is_binary {
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
