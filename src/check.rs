//! Checks JSON documents against field tables and reports every error with its JSON path.

use serde::de::DeserializeOwned;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;

/// One error found in a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckError {
    /// JSON path of the offending value, `$` for the document itself.
    pub path: String,
    /// What is wrong with it.
    pub fault: CheckFault,
}

/// What is wrong with a value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckFault {
    /// The document is not JSON.
    NotJson(String),
    /// A required field is absent.
    Missing,
    /// The field is not in the table.
    Unknown,
    /// The value has another type or form than the named one.
    Expected(&'static str),
    /// The number lies outside the inclusive range.
    OutOfRange(u64, u64),
    /// The value clashes with another part of the document.
    Conflict(String),
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.path)?;
        match &self.fault {
            CheckFault::NotJson(cause) => write!(f, "not valid JSON: {cause}"),
            CheckFault::Missing => f.write_str("required field is missing"),
            CheckFault::Unknown => f.write_str("unknown field"),
            CheckFault::Expected(form) => write!(f, "expected {form}"),
            CheckFault::OutOfRange(low, high) => write!(f, "must be from {low} to {high}"),
            CheckFault::Conflict(cause) => f.write_str(cause),
        }
    }
}

impl std::error::Error for CheckError {}

/// Form that a field's value must have.
#[derive(Debug, Clone, Copy)]
pub enum FieldKind {
    /// Any text.
    Text,
    /// An identifier as in [`crate::InstanceId`].
    Id,
    /// `ip:port`.
    Address,
    /// SHA-256 digest as 64 hexadecimal digits.
    Digest,
    /// Whole number within the inclusive range.
    Integer(u64, u64),
    /// Number of zero or more.
    NonNegative,
    /// `true` or `false`.
    Boolean,
    /// One of the listed texts.
    Choice(&'static [&'static str]),
    /// List whose items have the given form.
    List(&'static FieldKind),
    /// Object described by a table.
    Object(&'static [FieldRule]),
}

/// One row of a field table.
#[derive(Debug, Clone, Copy)]
pub struct FieldRule {
    /// Field name.
    pub name: &'static str,
    /// Form of its value.
    pub kind: FieldKind,
    /// True when the field must be present.
    pub required: bool,
}

impl FieldRule {
    /// A field that must be present.
    pub const fn required(name: &'static str, kind: FieldKind) -> Self {
        Self {
            name,
            kind,
            required: true,
        }
    }

    /// A field that may be absent.
    pub const fn optional(name: &'static str, kind: FieldKind) -> Self {
        Self {
            name,
            kind,
            required: false,
        }
    }
}

/// Parses `text`.
///
/// # Errors
/// [`CheckFault::NotJson`].
pub fn parse_json(text: &str) -> std::result::Result<Value, Vec<CheckError>> {
    serde_json::from_str(text).map_err(|cause| {
        vec![CheckError {
            path: "$".to_owned(),
            fault: CheckFault::NotJson(cause.to_string()),
        }]
    })
}

/// Parses `text` and checks it against `table`; returns the value or every error found.
///
/// # Errors
/// All faults of the document, each with its JSON path.
pub fn check_document(
    text: &str,
    table: &'static [FieldRule],
) -> std::result::Result<Value, Vec<CheckError>> {
    let value = parse_json(text)?;
    let mut errors = Vec::new();
    check_value("$", &value, FieldKind::Object(table), &mut errors);
    if errors.is_empty() {
        Ok(value)
    } else {
        Err(errors)
    }
}

/// Parses `text`, checks it against `table` and reads it into a type.
///
/// # Errors
/// All faults of the document, each with its JSON path.
pub fn parse_document<T: DeserializeOwned>(
    text: &str,
    table: &'static [FieldRule],
) -> std::result::Result<T, Vec<CheckError>> {
    serde_json::from_value(check_document(text, table)?).map_err(|cause| {
        vec![CheckError {
            path: "$".to_owned(),
            fault: CheckFault::Conflict(cause.to_string()),
        }]
    })
}

fn check_value(path: &str, value: &Value, kind: FieldKind, errors: &mut Vec<CheckError>) {
    let fault = match kind {
        FieldKind::Object(table) => return check_object(path, value, table, errors),
        FieldKind::List(item) => return check_list(path, value, *item, errors),
        FieldKind::Text => expect(value.is_string(), "text"),
        FieldKind::Id => expect(text_parses::<crate::InstanceId>(value), "an identifier"),
        FieldKind::Address => expect(text_parses::<SocketAddr>(value), "an address, ip:port"),
        FieldKind::Digest => expect(is_digest(value), "64 hexadecimal digits"),
        FieldKind::NonNegative => expect(value.as_f64().is_some_and(|n| n >= 0.0), "a number >= 0"),
        FieldKind::Boolean => expect(value.is_boolean(), "true or false"),
        FieldKind::Choice(names) => {
            let known = value.as_str().is_some_and(|text| names.contains(&text));
            expect(known, "one of the documented choices")
        }
        FieldKind::Integer(low, high) => check_number(value, low, high),
    };
    if let Some(fault) = fault {
        errors.push(CheckError {
            path: path.to_owned(),
            fault,
        });
    }
}

fn expect(holds: bool, form: &'static str) -> Option<CheckFault> {
    (!holds).then_some(CheckFault::Expected(form))
}

fn text_parses<T: std::str::FromStr>(value: &Value) -> bool {
    value.as_str().is_some_and(|text| text.parse::<T>().is_ok())
}

fn is_digest(value: &Value) -> bool {
    let is_hex = |text: &str| text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit());
    value.as_str().is_some_and(is_hex)
}

fn check_number(value: &Value, low: u64, high: u64) -> Option<CheckFault> {
    match value.as_u64() {
        None => Some(CheckFault::Expected("a whole number >= 0")),
        Some(number) if number < low || number > high => Some(CheckFault::OutOfRange(low, high)),
        Some(_) => None,
    }
}

fn check_list(path: &str, value: &Value, item: FieldKind, errors: &mut Vec<CheckError>) {
    let Some(items) = value.as_array() else {
        let fault = CheckFault::Expected("a list");
        errors.push(CheckError {
            path: path.to_owned(),
            fault,
        });
        return;
    };
    for (index, entry) in items.iter().enumerate() {
        check_value(&format!("{path}[{index}]"), entry, item, errors);
    }
}

fn check_object(
    path: &str,
    value: &Value,
    table: &'static [FieldRule],
    errors: &mut Vec<CheckError>,
) {
    let Some(fields) = value.as_object() else {
        let fault = CheckFault::Expected("an object");
        errors.push(CheckError {
            path: path.to_owned(),
            fault,
        });
        return;
    };
    for rule in table {
        let inner = format!("{path}.{}", rule.name);
        match fields.get(rule.name) {
            Some(entry) => check_value(&inner, entry, rule.kind, errors),
            None if rule.required => {
                errors.push(CheckError {
                    path: inner,
                    fault: CheckFault::Missing,
                });
            }
            None => {}
        }
    }
    for name in fields.keys() {
        if !table.iter().any(|rule| rule.name == name) {
            let path = format!("{path}.{name}");
            errors.push(CheckError {
                path,
                fault: CheckFault::Unknown,
            });
        }
    }
}
