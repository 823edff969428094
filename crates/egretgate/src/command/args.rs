//! Arguments of a command: its own flags, and the client settings that all remote commands accept.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fmt::Write as _;
use std::str::FromStr;

use egretgate_operator::proto::Author;
use egretgate_settings::{Fault, Faults, Invocation, client};
use lexopt::Arg;

use super::failure::{Exit, Failure, Result};

/// A flag of one command.
pub(super) struct Flag {
    /// Name without the leading dashes.
    pub(super) name: &'static str,
    /// Placeholder of its value; empty for a switch, in brackets if the value is optional.
    pub(super) unit: &'static str,
    /// One sentence for the help text.
    pub(super) help: &'static str,
}

/// Definition of a command.
pub(super) struct Spec {
    /// Words of the command line that select it.
    pub(super) words: &'static [&'static str],
    /// Names of its positional arguments; those in brackets are optional.
    pub(super) operands: &'static [&'static str],
    /// One sentence for the help text.
    pub(super) about: &'static str,
    /// Its own flags.
    pub(super) flags: &'static [Flag],
    /// True if it connects to an entry and therefore accepts the client settings.
    pub(super) remote: bool,
}

/// Parsed arguments of a command.
#[derive(Debug, Default)]
pub(super) struct Parsed {
    flags: BTreeMap<&'static str, String>,
    operands: Vec<String>,
    /// Client settings; the defaults for a command that is not remote.
    pub(super) settings: client::Settings,
}

impl Spec {
    /// Returns the words and positional arguments, as in a usage line.
    pub(super) fn usage(&self) -> String {
        [self.words, self.operands].concat().join(" ")
    }

    /// Returns the help text.
    pub(super) fn help(&self) -> String {
        let mut out = format!("Usage: egretgate {} [FLAG]...\n\n{}\n", self.usage(), self.about);
        for flag in self.flags {
            let (open, unit) = match flag.unit {
                "" => ("", ""),
                unit if unit.starts_with('[') => ("", unit),
                unit => (" ", unit),
            };
            let _ = writeln!(out, "\n  --{}{open}{unit}\n      {}", flag.name, flag.help);
        }
        if self.remote {
            out.push_str(&client::TABLE.settings_help());
        }
        out.push_str("\n  --help\n      Prints this text.\n\n");
        out.push_str(Exit::HELP);
        out
    }

    /// Parses the arguments; returns `None` if help is requested.
    pub(super) fn parse(
        &self,
        args: Vec<OsString>,
        vars: Vec<(OsString, OsString)>,
    ) -> Result<Option<Parsed>> {
        let mut parsed = Parsed::default();
        let mut client_args = Vec::new();
        let mut faults = Vec::new();
        let mut parser = lexopt::Parser::from_args(args);
        loop {
            match parser.next() {
                Ok(None) => break,
                Ok(Some(Arg::Long("help") | Arg::Short('h'))) => return Ok(None),
                Ok(Some(Arg::Long(name))) => {
                    let name = name.to_owned();
                    if let Err(fault) =
                        self.parse_flag(&name, &mut parser, &mut parsed, &mut client_args)
                    {
                        faults.push(fault);
                    }
                }
                Ok(Some(Arg::Short(name))) => {
                    faults.push(Fault::new(format!("-{name}"), "no such flag"));
                }
                Ok(Some(Arg::Value(value))) => {
                    parsed.operands.push(value.to_string_lossy().into_owned());
                }
                Err(error) => faults.push(Fault::new("arguments", error.to_string())),
            }
        }
        self.check_operands(&parsed, &mut faults);
        if self.remote {
            match client::read(client_args, vars) {
                Ok(Invocation::Settings(settings)) => parsed.settings = settings,
                Ok(Invocation::Help(_)) => return Ok(None),
                Err(Faults(more)) => faults.extend(more),
            }
        }
        if faults.is_empty() { Ok(Some(parsed)) } else { Err(Faults(faults).into()) }
    }

    fn parse_flag(
        &self,
        name: &str,
        parser: &mut lexopt::Parser,
        parsed: &mut Parsed,
        client_args: &mut Vec<OsString>,
    ) -> std::result::Result<(), Fault> {
        let flag = format!("--{name}");
        let Some(known) = self.flags.iter().find(|known| known.name == name) else {
            if self.remote && client::TABLE.flags().any(|flag| flag == name) {
                let value = parser.value().map_err(|_| Fault::new(&flag, "a value is missing"))?;
                client_args.extend([flag.into(), value]);
                return Ok(());
            }
            // Consumes the value of `--flag=value`, which would be reported as a second fault.
            parser.optional_value();
            return Err(Fault::new(flag, "no such flag"));
        };
        let value = match known.unit {
            "" => OsString::new(),
            unit if unit.starts_with('[') => parser.optional_value().unwrap_or_default(),
            _ => parser.value().map_err(|_| Fault::new(&flag, "a value is missing"))?,
        };
        let value = value.into_string().map_err(|_| Fault::new(&flag, "not valid Unicode"))?;
        match parsed.flags.insert(known.name, value) {
            None => Ok(()),
            Some(_) => Err(Fault::new(flag, "given more than once")),
        }
    }

    fn check_operands(&self, parsed: &Parsed, faults: &mut Vec<Fault>) {
        let given = parsed.operands.len();
        let required = self.operands.iter().filter(|operand| !operand.starts_with('['));
        for operand in required.skip(given) {
            faults.push(Fault::new(*operand, "required"));
        }
        for extra in parsed.operands.iter().skip(self.operands.len()) {
            faults.push(Fault::new(extra, "one argument too many"));
        }
    }
}

impl Parsed {
    /// Returns the positional argument at `index` of [`Spec::operands`].
    pub(super) fn operand(&self, index: usize) -> Option<&str> {
        self.operands.get(index).map(String::as_str)
    }

    /// Returns true if the flag is present.
    pub(super) fn has(&self, flag: &str) -> bool {
        self.flags.contains_key(flag)
    }

    /// Returns the value of a flag.
    pub(super) fn value(&self, flag: &str) -> Option<&str> {
        self.flags.get(flag).map(String::as_str)
    }

    /// Returns the value of a required flag.
    pub(super) fn required(&self, flag: &str) -> Result<&str> {
        self.value(flag).ok_or_else(|| Failure::usage(format!("--{flag}: required")))
    }

    /// Returns the parsed value of a flag, or `default` if the flag or its value is absent.
    pub(super) fn parse_or<T: FromStr>(&self, flag: &str, expected: &str, default: T) -> Result<T> {
        let Some(text) = self.value(flag).filter(|text| !text.is_empty()) else {
            return Ok(default);
        };
        text.parse().map_err(|_| Failure::usage(format!("--{flag}: expected {expected}")))
    }

    /// Returns the operator and the reason for a change.
    pub(super) fn author(&self) -> Result<Author> {
        let author = Author {
            operator: self.settings.operator.clone().unwrap_or_default(),
            reason: self.settings.reason.clone().unwrap_or_default(),
        };
        egretgate_operator::check_author(Some(&author)).map_err(|error| {
            Failure::usage(format!("{}; give --operator and --reason", error.detail))
        })?;
        Ok(author)
    }
}
