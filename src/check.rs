//! Validates JSON documents against field tables and reports all errors, each with its JSON path.

use serde::de::DeserializeOwned;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;

/// One error in a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckError {
    /// JSON path of the invalid value; `$` for the document itself.
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
    /// The field is not in the field table.
    Unknown,
    /// The value does not have this form.
    Expected(&'static str),
    /// The number is outside this inclusive range.
    OutOfRange(u64, u64),
    /// The value contradicts another part of the document, or violates a rule that the table cannot
    /// express; holds a description.
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
    /// Non-negative integer in this inclusive range.
    Integer(u64, u64),
    /// Integer or fractional number that is not negative.
    NonNegative,
    /// `true` or `false`.
    Boolean,
    /// One of these texts.
    Choice(&'static [&'static str]),
    /// List whose items have this form.
    List(&'static FieldKind),
    /// Object with the fields of this table and no others.
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
    /// Creates a rule for a field that must be present.
    pub const fn required(name: &'static str, kind: FieldKind) -> Self {
        Self {
            name,
            kind,
            required: true,
        }
    }

    /// Creates a rule for a field that may be absent.
    pub const fn optional(name: &'static str, kind: FieldKind) -> Self {
        Self {
            name,
            kind,
            required: false,
        }
    }
}

/// Parses `text` as JSON.
///
/// # Errors
/// [`CheckFault::NotJson`] at the path `$`.
pub fn parse_json(text: &str) -> std::result::Result<Value, Vec<CheckError>> {
    serde_json::from_str(text).map_err(|cause| {
        vec![CheckError {
            path: "$".to_owned(),
            fault: CheckFault::NotJson(cause.to_string()),
        }]
    })
}

/// Parses `text` as JSON and validates it against `table`.
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

/// Parses `text` as JSON, validates it against `table` and deserializes it.
///
/// # Errors
/// All faults of the document, each with its JSON path; or a conflict at `$` when a valid document
/// cannot be deserialized.
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
            let is_listed = value.as_str().is_some_and(|text| names.contains(&text));
            expect(is_listed, "one of the documented choices")
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

/// A fault with the expected form, unless the value has it.
fn expect(has_form: bool, form: &'static str) -> Option<CheckFault> {
    (!has_form).then_some(CheckFault::Expected(form))
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
        let field_path = format!("{path}.{}", rule.name);
        match fields.get(rule.name) {
            Some(entry) => check_value(&field_path, entry, rule.kind, errors),
            None if rule.required => {
                errors.push(CheckError {
                    path: field_path,
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
