//! Tables of settings, and reading their values.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fmt::Write as _;

use lexopt::Arg;

use crate::fault::{Fault, Faults, Result};
use crate::value;

/// Behaviour of a setting if neither its flag nor its variable is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fallback {
    /// The value must be given.
    Required,
    /// The setting stays unset.
    Unset,
    /// This text is parsed as the value.
    Value(&'static str),
}

/// One setting of a program whose settings have type `T`.
#[derive(Debug)]
pub struct Setting<T: 'static> {
    /// Flag without its dashes; the variable's name is derived from it.
    pub flag: &'static str,
    /// Unit or format of the value, for the help text.
    pub unit: &'static str,
    /// Description of the setting: one sentence.
    pub help: &'static str,
    /// Behaviour if it is not given.
    pub fallback: Fallback,
    /// True if the value is never shown.
    pub secret: bool,
    /// True if the flag may be repeated and the variable holds a comma-separated list.
    pub repeatable: bool,
    /// Parses one value into the settings.
    pub set: fn(&mut T, &str) -> value::Result<()>,
    /// Returns the values that are set, as text. A secret gives an empty text.
    pub show: fn(&T) -> Vec<String>,
}

/// The settings of one command.
#[derive(Debug)]
pub struct Table<T: 'static> {
    /// Command line up to the flags.
    pub usage: &'static str,
    /// Prefix of each variable, with its underscore.
    pub prefix: &'static str,
    /// Returns the flags of the program's other commands, whose variables are ignored.
    pub other_flags: fn() -> Vec<&'static str>,
    /// The settings, in the order of help.
    pub settings: &'static [Setting<T>],
}

/// Action that the command line requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Invocation<T> {
    /// Run with these settings.
    Settings(T),
    /// Print this text and exit.
    Help(String),
}

/// Values given for one setting and the name under which they were given.
struct GivenValues {
    name: String,
    values: Vec<String>,
}

impl<T> Setting<T> {
    /// Returns a required setting with one value that may be shown.
    pub const fn new(
        flag: &'static str,
        unit: &'static str,
        help: &'static str,
        set: fn(&mut T, &str) -> value::Result<()>,
        show: fn(&T) -> Vec<String>,
    ) -> Self {
        let fallback = Fallback::Required;
        Self { flag, unit, help, fallback, secret: false, repeatable: false, set, show }
    }

    /// Sets the default.
    #[must_use]
    pub const fn default(mut self, text: &'static str) -> Self {
        self.fallback = Fallback::Value(text);
        self
    }

    /// Lets the setting stay unset.
    #[must_use]
    pub const fn optional(mut self) -> Self {
        self.fallback = Fallback::Unset;
        self
    }

    /// Hides the value where settings are shown.
    #[must_use]
    pub const fn secret(mut self) -> Self {
        self.secret = true;
        self
    }

    /// Allows the flag to be repeated and the variable to hold a list.
    #[must_use]
    pub const fn repeatable(mut self) -> Self {
        self.repeatable = true;
        self
    }

    /// Returns the name of this setting's variable.
    pub fn variable(&self, prefix: &str) -> String {
        variable(prefix, self.flag)
    }

    fn split_values(&self, name: String, raw: &str) -> GivenValues {
        let values = if self.repeatable {
            raw.split(',').map(|value| value.trim().to_owned()).collect()
        } else {
            vec![raw.to_owned()]
        };
        GivenValues { name, values }
    }
}

impl<T> Table<T> {
    /// Reads flags from `args` and variables from `vars` into `settings`.
    ///
    /// # Errors
    ///
    /// Returns all faults: unknown, repeated and missing settings, and malformed values.
    pub fn read(
        &self,
        mut settings: T,
        args: impl IntoIterator<Item = OsString>,
        vars: impl IntoIterator<Item = (OsString, OsString)>,
    ) -> Result<Invocation<T>> {
        let mut faults = Vec::new();
        let Some(flags) = self.parse_flags(args, &mut faults) else {
            return Ok(Invocation::Help(self.help()));
        };
        let vars = self.collect_variables(vars, &mut faults);
        for setting in self.settings {
            self.resolve(setting, &mut settings, &flags, &vars, &mut faults);
        }
        if faults.is_empty() { Ok(Invocation::Settings(settings)) } else { Err(Faults(faults)) }
    }

    /// Returns the help text: usage, then each setting with unit, variable and default.
    pub fn help(&self) -> String {
        let usage = self.usage;
        let rows = self.settings_help();
        format!(
            "Usage: {usage}\n\nFlags take precedence over variables.\n{rows}\n  --help\n      Prints this text.\n"
        )
    }

    /// Returns the part of the help text that describes each setting.
    pub fn settings_help(&self) -> String {
        let mut out = String::new();
        for setting in self.settings {
            let _ = writeln!(out, "\n  --{} {}", setting.flag, setting.unit);
            let _ = writeln!(out, "      {}", setting.help);
            let _ = writeln!(
                out,
                "      [variable: {}] {}",
                self.variable_name(setting),
                default_note(setting)
            );
        }
        out
    }

    /// Returns the settings as a Markdown table, for the operators' guide.
    pub fn markdown(&self) -> String {
        let mut out = String::from("| flag | variable | unit | default | meaning |\n");
        out.push_str("| --- | --- | --- | --- | --- |\n");
        for setting in self.settings {
            let default = match setting.fallback {
                Fallback::Required => "required".to_owned(),
                Fallback::Unset => "none".to_owned(),
                Fallback::Value(text) => format!("`{text}`"),
            };
            let repeat = if setting.repeatable { " May be repeated." } else { "" };
            let _ = writeln!(
                out,
                "| `--{}` | `{}` | {} | {default} | {}{repeat} |",
                setting.flag,
                self.variable_name(setting),
                setting.unit,
                setting.help
            );
        }
        out
    }

    /// Returns one `flag=value` line for each setting; a secret shows only that it is set.
    pub fn show(&self, settings: &T) -> String {
        let mut out = String::new();
        for setting in self.settings {
            let values = (setting.show)(settings);
            let text = match (setting.secret, values.is_empty()) {
                (_, true) => "(none)".to_owned(),
                (true, false) => "(set, not shown)".to_owned(),
                (false, false) => values.join(","),
            };
            let _ = writeln!(out, "{}={text}", setting.flag);
        }
        out
    }

    fn variable_name(&self, setting: &Setting<T>) -> String {
        setting.variable(self.prefix)
    }

    /// Returns the flags of this table, without their dashes.
    pub fn flags(&self) -> impl Iterator<Item = &'static str> {
        self.settings.iter().map(|setting| setting.flag)
    }

    /// Returns the values of each flag, or `None` if help was asked for.
    fn parse_flags(
        &self,
        args: impl IntoIterator<Item = OsString>,
        faults: &mut Vec<Fault>,
    ) -> Option<BTreeMap<&'static str, Vec<String>>> {
        let mut found: BTreeMap<&'static str, Vec<String>> = BTreeMap::new();
        let mut parser = lexopt::Parser::from_args(args);
        loop {
            let flag = match parser.next() {
                Ok(None) => return Some(found),
                Ok(Some(Arg::Long("help") | Arg::Short('h'))) => return None,
                Ok(Some(Arg::Long(flag))) => flag.to_owned(),
                Ok(Some(Arg::Short(flag))) => {
                    faults.push(Fault::new(format!("-{flag}"), "no such flag"));
                    continue;
                }
                Ok(Some(Arg::Value(_))) => {
                    faults.push(Fault::new("arguments", "a value without a flag"));
                    continue;
                }
                Err(error) => {
                    faults.push(Fault::new("arguments", error.to_string()));
                    continue;
                }
            };
            let Some(setting) = self.settings.iter().find(|setting| setting.flag == flag) else {
                faults.push(Fault::new(format!("--{flag}"), "no such flag"));
                // Skips the unknown flag's value, so that it isn't reported as a second fault.
                drop_value(&mut parser);
                continue;
            };
            match parser.value().map(OsString::into_string) {
                Ok(Ok(text)) => found.entry(setting.flag).or_default().push(text),
                Ok(Err(_)) => faults.push(Fault::new(format!("--{flag}"), "not valid Unicode")),
                Err(_) => faults.push(Fault::new(format!("--{flag}"), "a value is missing")),
            }
        }
    }

    /// Returns the variables with this table's prefix.
    fn collect_variables(
        &self,
        vars: impl IntoIterator<Item = (OsString, OsString)>,
        faults: &mut Vec<Fault>,
    ) -> BTreeMap<String, String> {
        let other_flags = (self.other_flags)();
        let mut found = BTreeMap::new();
        for (name, text) in vars {
            let Ok(name) = name.into_string() else { continue };
            if !name.starts_with(self.prefix) {
                continue;
            }
            if !self.settings.iter().any(|setting| self.variable_name(setting) == name) {
                if !other_flags.iter().any(|flag| variable(self.prefix, flag) == name) {
                    faults.push(Fault::new(name, "no such variable"));
                }
                continue;
            }
            match text.into_string() {
                Ok(text) => drop(found.insert(name, text)),
                Err(_) => faults.push(Fault::new(name, "not valid Unicode")),
            }
        }
        found
    }

    /// Sets one setting from its flag, else its variable, else its default.
    fn resolve(
        &self,
        setting: &Setting<T>,
        settings: &mut T,
        flags: &BTreeMap<&'static str, Vec<String>>,
        vars: &BTreeMap<String, String>,
        faults: &mut Vec<Fault>,
    ) {
        let flag = format!("--{}", setting.flag);
        let variable = self.variable_name(setting);
        let given = if let Some(values) = flags.get(setting.flag) {
            GivenValues { name: flag.clone(), values: values.clone() }
        } else if let Some(text) = vars.get(&variable) {
            setting.split_values(variable.clone(), text)
        } else {
            match setting.fallback {
                Fallback::Value(text) => setting.split_values(flag.clone(), text),
                Fallback::Unset => return,
                Fallback::Required => {
                    let message = format!("required; give the flag or {variable}");
                    return faults.push(Fault::new(flag, message));
                }
            }
        };
        if given.values.len() > 1 && !setting.repeatable {
            return faults.push(Fault::new(given.name, "given more than once"));
        }
        for text in &given.values {
            if let Err(message) = (setting.set)(settings, text) {
                faults.push(Fault::new(given.name.clone(), message));
            }
        }
    }
}

/// Returns the name of the variable for `flag`.
fn variable(prefix: &str, flag: &str) -> String {
    format!("{prefix}{}", flag.replace('-', "_").to_ascii_uppercase())
}

fn default_note<T>(setting: &Setting<T>) -> String {
    let fallback = match setting.fallback {
        Fallback::Required => "[required]".to_owned(),
        Fallback::Unset => "[default: none]".to_owned(),
        Fallback::Value(text) => format!("[default: {text}]"),
    };
    if setting.repeatable {
        return format!("{fallback} [may be repeated; the variable is split at commas]");
    }
    fallback
}

/// Skips the value of an unknown flag, if it has one.
fn drop_value(parser: &mut lexopt::Parser) {
    if parser.optional_value().is_some() {
        return;
    }
    if let Ok(mut rest) = parser.raw_args() {
        rest.next_if(|arg| !arg.to_string_lossy().starts_with('-'));
    }
}
