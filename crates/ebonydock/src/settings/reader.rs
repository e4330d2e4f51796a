//! Reader of JSON with comments that collects all findings instead of stopping at the first.

use std::net::SocketAddr;
use std::ops::Range;
use std::str::FromStr;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::settings::{Finding, SettingsFindings};

/// Parses `text`, the content of the file `name`, and reads its root object with `read`.
///
/// # Errors
///
/// Returns all findings with their locations.
pub fn read_document<T>(
    name: &str,
    text: &str,
    read: impl FnOnce(&mut ObjectReader<'_>) -> Option<T>,
) -> Result<T, SettingsFindings> {
    let options = ParseOptions {
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        ..ParseOptions::default()
    };
    let mut findings = Vec::new();
    let value = match parse_to_ast(text, &CollectOptions::default(), &options) {
        Ok(parsed) => parsed.value,
        Err(error) => {
            let span = error.range().start..error.range().end;
            findings.push(Finding { span, message: error.kind().to_string() });
            return Err(SettingsFindings::new(name, text, findings));
        }
    };
    let Some(Value::Object(object)) = value else {
        findings.push(Finding { span: 0..0, message: "expected an object".to_owned() });
        return Err(SettingsFindings::new(name, text, findings));
    };
    let result = read(&mut ObjectReader { object: &object, findings: &mut findings });
    match result {
        Some(result) if findings.is_empty() => Ok(result),
        _ => Err(SettingsFindings::new(name, text, findings)),
    }
}

/// Reader of the fields of an object. Missing required fields and invalid values are added to the
/// findings.
pub struct ObjectReader<'a> {
    object: &'a Object<'a>,
    findings: &'a mut Vec<Finding>,
}

impl<'a> ObjectReader<'a> {
    /// Adds a finding for every field that is not in `fields`.
    pub fn allow_fields(&mut self, fields: &[&str]) {
        for property in &self.object.properties {
            let name = property.name.as_str();
            if !fields.contains(&name) {
                let span = span_of(&property.name);
                self.findings.push(Finding { span, message: format!("unknown field `{name}`") });
            }
        }
    }

    /// Returns whether a field is present.
    pub fn has(&self, field: &str) -> bool {
        self.object.get(field).is_some()
    }

    /// Adds a finding about a field, or about the whole object if the field is absent.
    pub fn report(&mut self, field: &str, message: String) {
        let span = self.value(field).map_or_else(|| span_of(self.object), span_of);
        self.findings.push(Finding { span, message });
    }

    /// Reads a required string that is not empty.
    pub fn string(&mut self, field: &str) -> Option<String> {
        match self.required(field)? {
            Value::StringLit(text) if !text.value.is_empty() => Some(text.value.to_string()),
            _ => self.report_invalid(field, "a string that is not empty"),
        }
    }

    /// Reads a required string and parses it.
    pub fn parsed<T: FromStr<Err = String>>(&mut self, field: &str) -> Option<T> {
        let text = self.string(field)?;
        text.parse().map_err(|message| self.report(field, message)).ok()
    }

    /// Reads a required address (`ip:port`).
    pub fn address(&mut self, field: &str) -> Option<SocketAddr> {
        let text = self.string(field)?;
        let address = text.parse().ok();
        address.or_else(|| self.report_invalid(field, "an address such as `127.0.0.1:8080`"))
    }

    /// Reads a required list of strings that is not empty.
    pub fn strings(&mut self, field: &str) -> Option<Vec<String>> {
        let Value::Array(array) = self.required(field)? else {
            return self.report_invalid(field, "a list of strings");
        };
        let texts: Option<Vec<String>> = array
            .elements
            .iter()
            .map(|element| element.as_string_lit().map(|text| text.value.to_string()))
            .collect();
        let texts = texts.filter(|texts| !texts.is_empty());
        texts.or_else(|| self.report_invalid(field, "a list of strings that is not empty"))
    }

    /// Reads an optional whole number from `min` to `max`, both included. Returns `default` if the field is
    /// absent or invalid.
    pub fn integer(&mut self, field: &str, default: u64, min: u64, max: u64) -> u64 {
        let Some(value) = self.value(field) else { return default };
        let number = value.as_number_lit().and_then(|number| number.value.parse().ok());
        let number = number.filter(|number| (min..=max).contains(number));
        number.unwrap_or_else(|| {
            self.report(field, format!("`{field}` must be a whole number from {min} to {max}"));
            default
        })
    }

    /// Reads an optional number from `min` to `max`, both included. Returns `default` if the field is absent
    /// or invalid.
    pub fn number(&mut self, field: &str, default: f64, min: f64, max: f64) -> f64 {
        let Some(value) = self.value(field) else { return default };
        let number = value.as_number_lit().and_then(|number| number.value.parse().ok());
        let number = number.filter(|number| (min..=max).contains(number));
        number.unwrap_or_else(|| {
            self.report(field, format!("`{field}` must be a number from {min} to {max}"));
            default
        })
    }

    /// Reads an optional string that must be one of the names in `choices`.
    pub fn choice<T: Copy>(&mut self, field: &str, choices: &[(&str, T)]) -> Option<T> {
        let value = self.value(field)?;
        let word = value.as_string_lit().map(|text| text.value.to_string());
        let found = choices.iter().find(|(name, _)| Some(*name) == word.as_deref());
        if let Some((_, choice)) = found {
            return Some(*choice);
        }
        let names: Vec<String> = choices.iter().map(|(name, _)| format!("`{name}`")).collect();
        self.report_invalid(field, &format!("one of {}", names.join(", ")))
    }

    /// Reads a required object.
    pub fn object<T>(
        &mut self,
        field: &str,
        read: impl FnOnce(&mut ObjectReader<'_>) -> Option<T>,
    ) -> Option<T> {
        self.required(field)?;
        self.optional_object(field, read)
    }

    /// Reads an optional object.
    pub fn optional_object<T>(
        &mut self,
        field: &str,
        read: impl FnOnce(&mut ObjectReader<'_>) -> Option<T>,
    ) -> Option<T> {
        match self.value(field)? {
            Value::Object(object) => read(&mut ObjectReader { object, findings: self.findings }),
            _ => self.report_invalid(field, "an object"),
        }
    }

    /// Reads an optional list of objects. Returns an empty list if the field is absent.
    pub fn objects<T>(
        &mut self,
        field: &str,
        mut read: impl FnMut(&mut ObjectReader<'_>) -> Option<T>,
    ) -> Vec<T> {
        let Some(value) = self.value(field) else { return Vec::new() };
        let Value::Array(array) = value else {
            self.report(field, format!("`{field}` must be a list of objects"));
            return Vec::new();
        };
        let mut items = Vec::new();
        for element in &array.elements {
            match element {
                Value::Object(object) => {
                    items.extend(read(&mut ObjectReader { object, findings: self.findings }));
                }
                other => self.findings.push(Finding {
                    span: span_of(other),
                    message: "expected an object".to_owned(),
                }),
            }
        }
        items
    }

    fn value(&self, field: &str) -> Option<&'a Value<'a>> {
        self.object.get(field).map(|property| &property.value)
    }

    fn required(&mut self, field: &str) -> Option<&'a Value<'a>> {
        if !self.has(field) {
            self.report(field, format!("`{field}` is missing"));
        }
        self.value(field)
    }

    fn report_invalid<T>(&mut self, field: &str, expected: &str) -> Option<T> {
        self.report(field, format!("`{field}` must be {expected}"));
        None
    }
}

fn span_of(ranged: &impl Ranged) -> Range<usize> {
    ranged.start()..ranged.end()
}
