//! Plans a configuration change: merges an intent into the active document and lists
//! the changes. Publishing a plan is a separate step that the operator confirms.

use toml::Table;
use toml::Value;
use woadstage_types::code::Code;

use crate::fault::Faults;
use crate::published;
use crate::published::Confirmation;

/// The field of an intent that lists the items to remove, as `table.name`.
const REMOVE_FIELD: &str = "remove";

/// A change to one item of the document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The path of the item, such as `classes.recap`.
    pub path: String,
    /// The active value, if any.
    pub from: Option<String>,
    /// The planned value, if any.
    pub to: Option<String>,
}

/// The plan for an intent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The changes, sorted by path.
    pub changes: Vec<Change>,
    /// The document to publish on confirmation.
    pub document: String,
    /// The confirmation that the document contains.
    pub confirmation: Confirmation,
}

/// Creates the plan that applies `intent` to `active`, a complete document, or an empty
/// text if none has been published.
pub fn build(active: &str, intent: &str) -> Result<Plan, Faults> {
    let (base, body) = match active.is_empty() {
        true => (Confirmation::default(), Table::new()),
        false => {
            let config = published::parse(active)?;
            let mut table = parse(active)?;
            for field in ["revision", "base", "digest"] {
                table.remove(field);
            }
            (config.confirmation, table)
        }
    };
    let mut after = body.clone();
    merge(&mut after, parse(intent)?)?;
    let text =
        toml::to_string(&after).map_err(|error| invalid_intent("file", error.to_string()))?;
    let revision = base.revision + 1;
    let document = published::write(revision, &base.digest, &text);
    let config = published::parse(&document)?;
    Ok(Plan {
        changes: diff(&body, &after),
        document,
        confirmation: config.confirmation,
    })
}

fn parse(text: &str) -> Result<Table, Faults> {
    text.parse()
        .map_err(|error: toml::de::Error| invalid_intent("file", error.to_string()))
}

fn invalid_intent(path: &str, remedy: impl Into<String>) -> Faults {
    let mut faults = Faults::default();
    faults.add(path, Code::IntentInvalid, remedy);
    faults
}

fn name_of(item: &Value) -> Option<&str> {
    item.as_table()?.get("name")?.as_str()
}

fn merge(document: &mut Table, mut intent: Table) -> Result<(), Faults> {
    let removed = intent.remove(REMOVE_FIELD);
    for (field, value) in intent {
        match (document.get_mut(&field), value) {
            (Some(Value::Array(items)), Value::Array(new)) if new.iter().all(Value::is_table) => {
                new.into_iter().for_each(|item| merge_item(items, item));
            }
            (_, value) => {
                document.insert(field, value);
            }
        }
    }
    let Some(Value::Array(paths)) = removed else {
        return Ok(());
    };
    paths
        .iter()
        .try_for_each(|path| remove(document, path.as_str().unwrap_or_default()))
}

fn merge_item(items: &mut Vec<Value>, item: Value) {
    let index = items.iter().position(|old| name_of(old) == name_of(&item));
    let Some(Value::Table(old)) = index.map(|index| &mut items[index]) else {
        items.push(item);
        return;
    };
    if let Value::Table(new) = item {
        old.extend(new);
    }
}

fn remove(document: &mut Table, path: &str) -> Result<(), Faults> {
    let unknown = || invalid_intent(path, "Name what to remove as \"table.name\".");
    let (field, name) = path.split_once('.').ok_or_else(unknown)?;
    let items = document
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

/// Flattens a document to pairs of a path and the text of the value. The path of an item
/// of an array of tables is `table.name`.
fn flatten(table: &Table) -> Vec<(String, String)> {
    let mut entries = Vec::new();
    for (field, value) in table {
        match value {
            Value::Array(items) if items.iter().any(Value::is_table) => {
                for item in items {
                    let name = name_of(item).unwrap_or("?");
                    entries.push((format!("{field}.{name}"), item.to_string()));
                }
            }
            value => entries.push((field.clone(), value.to_string())),
        }
    }
    entries.sort();
    entries
}

fn diff(before: &Table, after: &Table) -> Vec<Change> {
    let before = flatten(before);
    let after = flatten(after);
    let find = |entries: &[(String, String)], path: &str| {
        entries
            .iter()
            .find(|(entry_path, _)| entry_path == path)
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
