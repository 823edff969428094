//! Parser of declaration files that reports the line and field of each fault.

use std::collections::BTreeMap;
use std::ops::Range;

use serde::Deserialize;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use super::{Fault, MAX_FILE_BYTES, Result, faults};
use crate::declaration::Declarations;
use crate::diff::Section;

/// Parses and checks a declaration file in TOML.
///
/// # Errors
///
/// Returns every fault with its line and field. Rules across items are checked only if every item
/// can be parsed, so that no fault is reported twice.
pub fn parse(text: &str) -> Result<Declarations> {
    if text.len() > MAX_FILE_BYTES {
        let message = format!("{} bytes; a file has at most {MAX_FILE_BYTES}", text.len());
        return Err(vec![Fault { line: Some(1), ..Fault::new(&[], message) }]);
    }
    let (table, errors) = DeTable::parse_recoverable(text);
    let line_ends = text.match_indices('\n').map(|(offset, _)| offset).collect();
    let mut file = File { line_ends, table: table.get_ref(), faults: Vec::new() };
    for error in errors {
        file.push(Vec::new(), error.span(), error.message());
    }
    if !file.faults.is_empty() {
        return Err(file.faults);
    }
    let declarations = file.read_declarations();
    if file.faults.is_empty() {
        let found = faults(&declarations);
        file.faults = found.into_iter().map(|fault| file.locate(fault)).collect();
    }
    if file.faults.is_empty() { Ok(declarations) } else { Err(file.faults) }
}

struct File<'a> {
    /// Byte offset of each line's end, in ascending order.
    line_ends: Vec<usize>,
    table: &'a DeTable<'a>,
    faults: Vec<Fault>,
}

impl<'a> File<'a> {
    fn read_declarations(&mut self) -> Declarations {
        for (key, _) in self.table {
            if Section::from_name(key.get_ref()).is_none() {
                let message = "unknown section; expected tiers, services, teams or routes";
                self.push(vec![key.get_ref().to_string()], Some(key.span()), message);
            }
        }
        Declarations {
            tiers: self.read_section(Section::Tiers),
            teams: self.read_section(Section::Teams),
            services: self.read_section(Section::Services),
            routes: self.read_section(Section::Routes),
        }
    }

    fn read_section<T: Deserialize<'a>>(&mut self, section: Section) -> BTreeMap<String, T> {
        let Some(value) = self.table.get(section.as_str()) else { return BTreeMap::new() };
        let Some(items) = value.get_ref().as_table() else {
            let message = format!("expected tables such as [{section}.name]");
            self.push(vec![section.to_string()], Some(value.span()), &message);
            return BTreeMap::new();
        };
        let mut parsed = BTreeMap::new();
        for (key, value) in items {
            match T::deserialize(ValueDeserializer::from(value.clone())) {
                Ok(spec) => drop(parsed.insert(key.get_ref().to_string(), spec)),
                Err(error) => {
                    let mut path = vec![section.to_string(), key.get_ref().to_string()];
                    let span = error.span().unwrap_or_else(|| key.span());
                    path.extend(field_at(value.get_ref(), &span));
                    self.push(path, Some(span), error.message());
                }
            }
        }
        parsed
    }

    fn push(&mut self, path: Vec<String>, span: Option<Range<usize>>, message: &str) {
        let line = span.map(|span| self.line_of(span.start));
        self.faults.push(Fault { path, line, message: message.to_owned() });
    }

    /// Returns `fault` with the line of the deepest component of its path that is in the file.
    fn locate(&self, mut fault: Fault) -> Fault {
        let mut line = 1;
        let mut table = Some(self.table);
        for part in &fault.path {
            let Some((key, value)) = table.and_then(|table| table.get_key_value(part.as_str()))
            else {
                break;
            };
            line = self.line_of(key.span().start);
            table = value.get_ref().as_table();
        }
        fault.line = Some(line);
        fault
    }

    fn line_of(&self, offset: usize) -> usize {
        self.line_ends.partition_point(|&end| end < offset) + 1
    }
}

/// Returns the key of the field of `value` in which `span` starts.
fn field_at(value: &DeValue<'_>, span: &Range<usize>) -> Option<String> {
    let contains = |range: Range<usize>| range.contains(&span.start);
    value
        .as_table()?
        .iter()
        .find(|(key, value): &(&Spanned<_>, _)| contains(key.span()) || contains(value.span()))
        .map(|(key, _)| key.get_ref().to_string())
}
