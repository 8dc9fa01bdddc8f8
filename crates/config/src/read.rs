//! Reads the fields of a TOML table one by one, so that all faults of a file are
//! reported together. Deserialising with serde alone stops at the first fault.

use std::collections::HashSet;

use serde::de::DeserializeOwned;
use toml::Table;
use toml::Value;
use woadstage_types::code::Code;

use crate::fault::Faults;

/// A reader of a TOML table. Fields that are not taken are reported as unknown.
#[derive(Debug)]
pub struct Reader {
    table: Table,
    path: String,
    /// The faults found so far.
    pub faults: Faults,
}

impl Reader {
    /// Parses a file and returns a reader of its root table.
    pub fn parse(text: &str) -> Result<Reader, Faults> {
        match text.parse::<Table>() {
            Ok(table) => Ok(Reader::new(table, String::new())),
            Err(error) => {
                let mut faults = Faults::default();
                faults.add(
                    "file",
                    Code::SettingsSyntax,
                    error.to_string().replace('\n', " "),
                );
                Err(faults)
            }
        }
    }

    fn new(table: Table, path: String) -> Reader {
        Reader {
            table,
            path,
            faults: Faults::default(),
        }
    }

    /// Returns the path of a field of this table.
    pub fn path_of(&self, field: &str) -> String {
        match self.path.as_str() {
            "" => field.into(),
            path => format!("{path}.{field}"),
        }
    }

    /// Adds a fault at a field of this table.
    pub fn add_fault(&mut self, field: &str, code: Code, remedy: impl Into<String>) {
        let path = self.path_of(field);
        self.faults.add(&path, code, remedy);
    }

    /// Takes an optional field. A value of the wrong form is a fault and gives `None`.
    pub fn take_opt<T: DeserializeOwned>(&mut self, field: &str) -> Option<T> {
        let value = self.table.remove(field)?;
        match value.try_into() {
            Ok(value) => Some(value),
            Err(error) => {
                let remedy = format!("Mend the value: {}.", error.to_string().trim());
                self.add_fault(field, Code::SettingsValue, remedy);
                None
            }
        }
    }

    /// Takes a field, or `default` if it is absent or has the wrong form.
    pub fn take_or<T: DeserializeOwned>(&mut self, field: &str, default: T) -> T {
        self.take_opt(field).unwrap_or(default)
    }

    /// Takes a required field; its absence is a fault.
    pub fn take<T: DeserializeOwned + Default>(&mut self, field: &str) -> T {
        if !self.table.contains_key(field) {
            self.add_fault(
                field,
                Code::SettingsValue,
                "Give this field; it has no default.",
            );
        }
        self.take_opt(field).unwrap_or_default()
    }

    /// Takes a nested table; an absent table is read as an empty one.
    pub fn take_table(&mut self, field: &str) -> Reader {
        let path = self.path_of(field);
        match self.table.remove(field) {
            Some(Value::Table(table)) => Reader::new(table, path),
            None => Reader::new(Table::new(), path),
            Some(_) => {
                self.add_fault(field, Code::SettingsValue, format!("Write it as [{path}]."));
                Reader::new(Table::new(), path)
            }
        }
    }

    /// Takes an array of tables that each have a unique `name`, together with the names.
    pub fn take_named_tables(&mut self, field: &str) -> Vec<(String, Reader)> {
        let Some(value) = self.table.remove(field) else {
            return Vec::new();
        };
        let Value::Array(items) = value else {
            self.add_fault(
                field,
                Code::SettingsValue,
                format!("Write each as [[{field}]]."),
            );
            return Vec::new();
        };
        let mut named_tables: Vec<(String, Reader)> = Vec::new();
        let mut names = HashSet::new();
        for (index, item) in items.into_iter().enumerate() {
            let Value::Table(table) = item else {
                self.add_fault(
                    field,
                    Code::SettingsValue,
                    format!("Write each as [[{field}]]."),
                );
                continue;
            };
            let mut table_reader = Reader::new(table, format!("{}.{index}", self.path_of(field)));
            let name: String = table_reader.take("name");
            table_reader.path = format!("{}.{name}", self.path_of(field));
            if !names.insert(name.clone()) {
                table_reader.add_fault("name", Code::NameTwice, "Rename or remove one of the two.");
            }
            named_tables.push((name, table_reader));
        }
        named_tables
    }

    /// Returns all faults, with one for each field that was not taken.
    pub fn finish(mut self) -> Faults {
        let unknown: Vec<String> = self.table.keys().cloned().collect();
        for field in unknown {
            self.add_fault(
                &field,
                Code::SettingsValue,
                "Remove it: there is no such field here.",
            );
        }
        self.faults
    }
}
