//! Lays an intent over the document in force and says what would change.
//! Nothing is published here: confirming is the operator's own act.

use toml::Table;
use toml::Value;
use woadstage_types::code::Code;

use crate::fault::Faults;
use crate::published;
use crate::published::Confirmation;

/// The field of an intent that lists what goes, as `table.name`.
const REMOVE: &str = "remove";

/// One thing that would change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Its path, such as `classes.recap`.
    pub path: String,
    /// The value in force, if any.
    pub from: Option<String>,
    /// The value after confirming, if any.
    pub to: Option<String>,
}

/// An answer to an intent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// What would change, in the order of the paths.
    pub changes: Vec<Change>,
    /// The document that confirming means publishing.
    pub document: String,
    /// Its confirmation.
    pub confirmation: Confirmation,
}

/// Makes the plan for `intent` over `in_force`, a whole document or nothing.
pub fn build(in_force: &str, intent: &str) -> Result<Plan, Faults> {
    let (base, body) = match in_force.is_empty() {
        true => (Confirmation::default(), Table::new()),
        false => {
            let config = published::parse(in_force)?;
            let mut table = parse(in_force)?;
            for field in ["revision", "base", "digest"] {
                table.remove(field);
            }
            (config.confirmation, table)
        }
    };
    let mut after = body.clone();
    lay(&mut after, parse(intent)?)?;
    let text = toml::to_string(&after).map_err(|error| invalid("file", error.to_string()))?;
    let revision = base.revision + 1;
    let document = published::write(revision, &base.digest, &text);
    let config = published::parse(&document)?;
    Ok(Plan {
        changes: compare(&body, &after),
        document,
        confirmation: config.confirmation,
    })
}

fn parse(text: &str) -> Result<Table, Faults> {
    text.parse()
        .map_err(|error: toml::de::Error| invalid("file", error.to_string()))
}

fn invalid(path: &str, remedy: impl Into<String>) -> Faults {
    let mut faults = Faults::default();
    faults.add(path, Code::IntentInvalid, remedy);
    faults
}

fn name_of(item: &Value) -> Option<&str> {
    item.as_table()?.get("name")?.as_str()
}

fn lay(onto: &mut Table, mut intent: Table) -> Result<(), Faults> {
    let removed = intent.remove(REMOVE);
    for (field, value) in intent {
        match (onto.get_mut(&field), value) {
            (Some(Value::Array(items)), Value::Array(new)) if new.iter().all(Value::is_table) => {
                new.into_iter().for_each(|item| lay_item(items, item));
            }
            (_, value) => {
                onto.insert(field, value);
            }
        }
    }
    let Some(Value::Array(paths)) = removed else {
        return Ok(());
    };
    paths
        .iter()
        .try_for_each(|path| remove(onto, path.as_str().unwrap_or_default()))
}

fn lay_item(items: &mut Vec<Value>, item: Value) {
    let index = items.iter().position(|old| name_of(old) == name_of(&item));
    let Some(Value::Table(old)) = index.map(|at| &mut items[at]) else {
        items.push(item);
        return;
    };
    if let Value::Table(new) = item {
        old.extend(new);
    }
}

fn remove(onto: &mut Table, path: &str) -> Result<(), Faults> {
    let unknown = || invalid(path, "Name what to remove as \"table.name\".");
    let (field, name) = path.split_once('.').ok_or_else(unknown)?;
    let items = onto
        .get_mut(field)
        .and_then(Value::as_array_mut)
        .ok_or_else(unknown)?;
    let index = items
        .iter()
        .position(|item| name_of(item) == Some(name))
        .ok_or_else(unknown)?;
    items.remove(index);
    Ok(())
}

/// Flattens a document to `table.name` and its text.
fn flatten(table: &Table) -> Vec<(String, String)> {
    let mut all = Vec::new();
    for (field, value) in table {
        match value {
            Value::Array(items) if items.iter().any(Value::is_table) => {
                for item in items {
                    let name = name_of(item).unwrap_or("?");
                    all.push((format!("{field}.{name}"), item.to_string()));
                }
            }
            value => all.push((field.clone(), value.to_string())),
        }
    }
    all.sort();
    all
}

fn compare(before: &Table, after: &Table) -> Vec<Change> {
    let before = flatten(before);
    let after = flatten(after);
    let find = |all: &[(String, String)], path: &str| {
        all.iter()
            .find(|(at, _)| at == path)
            .map(|(_, text)| text.clone())
    };
    let mut paths: Vec<&String> = before.iter().chain(&after).map(|(path, _)| path).collect();
    paths.sort();
    paths.dedup();
    let change = |path: &String| Change {
        path: path.clone(),
        from: find(&before, path),
        to: find(&after, path),
    };
    paths
        .into_iter()
        .map(change)
        .filter(|change| change.from != change.to)
        .collect()
}
