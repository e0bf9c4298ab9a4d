//! Faults of a document that show only across its fields.

use std::collections::BTreeMap;

use serde_json::Value;
use smol_str::SmolStr;

use crate::fault::{Fault, Kind, Path};

/// Names that a message lists at most.
const MAX_LISTED: usize = 8;

/// Every fault across the fields of a document, however faulty the fields
/// are by themselves.
pub(super) fn faults(document: &Value) -> Vec<Fault> {
    let mut faults = Vec::new();
    let owners = Names::new(document, "owners", |item| item);
    let accounts = Names::new(document, "accounts", |item| &item["id"]);
    let pools = Names::new(document, "pools", |item| &item["id"]);
    owners.duplicates(None, &mut faults);
    accounts.duplicates(Some("id"), &mut faults);
    pools.duplicates(Some("id"), &mut faults);
    keys(document, &mut faults);
    owners.references(document, "accounts", "owner", &mut faults);
    owners.references(document, "pools", "owner", &mut faults);
    pools.references(document, "models", "pool", &mut faults);
    models(document, &mut faults);
    calls(document, &mut faults);
    faults
}

/// The names that one list defines, in the list's order.
struct Names<'a> {
    list: Path,
    names: Vec<(usize, &'a str)>,
}

impl<'a> Names<'a> {
    fn new(document: &'a Value, list: &str, name: impl Fn(&'a Value) -> &'a Value) -> Self {
        let names = items(document, list)
            .filter_map(|(index, item)| Some((index, name(item).as_str()?)))
            .collect();
        Self { list: Path::default().field(list), names }
    }

    /// One fault for each name that stands a second time.
    fn duplicates(&self, field: Option<&str>, faults: &mut Vec<Fault>) {
        let at = |index| {
            let item = self.list.index(index);
            field.map_or_else(|| item.clone(), |field| item.field(field))
        };
        let mut first = BTreeMap::new();
        for &(index, name) in &self.names {
            let Some(&earlier) = first.get(name) else {
                first.insert(name, index);
                continue;
            };
            let kind = Kind::Duplicate { name: name.into(), first: at(earlier) };
            faults.push(Fault { path: at(index), kind });
        }
    }

    /// One fault for each item of another list that names none of these.
    fn references(&self, document: &Value, list: &str, field: &str, faults: &mut Vec<Fault>) {
        for (index, item) in items(document, list) {
            let Some(name) = item[field].as_str() else { continue };
            if self.names.iter().any(|&(_, known)| known == name) {
                continue;
            }
            let path = Path::default().field(list).index(index).field(field);
            let known = self.names.iter().take(MAX_LISTED).map(|&(_, name)| name.into()).collect();
            let kind = Kind::Dangling { name: name.into(), list: self.list.clone(), known };
            faults.push(Fault { path, kind });
        }
    }
}

/// A bearer key tells its account, so no two accounts share one.
fn keys(document: &Value, faults: &mut Vec<Fault>) {
    Names::new(document, "accounts", |item| &item["key_sha256"])
        .duplicates(Some("key_sha256"), faults);
}

/// Each model is served by one pool, of engines.
fn models(document: &Value, faults: &mut Vec<Fault>) {
    let list = Path::default().field("models");
    let mut first = BTreeMap::<&str, (usize, &str)>::new();
    for (index, item) in items(document, "models") {
        let (Some(id), Some(pool)) = (item["id"].as_str(), item["pool"].as_str()) else { continue };
        if has_runners(document, pool) {
            let path = list.index(index).field("pool");
            faults.push(Fault { path, kind: Kind::NotEngines(pool.into()) });
        }
        let Some(&(earlier, other)) = first.get(id) else {
            first.insert(id, (index, pool));
            continue;
        };
        let (name, first) = (SmolStr::from(id), list.index(earlier));
        let kind = match other == pool {
            true => Kind::Duplicate { name, first: first.field("id") },
            false => Kind::Shared { name, pool: other.into(), first: first.field("pool") },
        };
        faults.push(Fault { path: list.index(index).field("id"), kind });
    }
}

fn has_runners(document: &Value, pool: &str) -> bool {
    let mut pools = items(document, "pools");
    pools.any(|(_, item)| item["id"] == pool && item["kind"].get("runner").is_some())
}

/// Each repeatable call stands once in its pool.
fn calls(document: &Value, faults: &mut Vec<Fault>) {
    for (index, pool) in items(document, "pools") {
        let runner = &pool["kind"]["runner"];
        let path = Path::default().field("pools").index(index);
        let list = path.field("kind").field("runner").field("repeatable");
        let mut first = BTreeMap::new();
        for (index, call) in items(runner, "repeatable") {
            let (Some(method), Some(path)) = (call["method"].as_str(), call["path"].as_str())
            else {
                continue;
            };
            let Some(&earlier) = first.get(&(method, path)) else {
                first.insert((method, path), index);
                continue;
            };
            let name = format!("{method} {path}").into();
            let kind = Kind::Duplicate { name, first: list.index(earlier) };
            faults.push(Fault { path: list.index(index), kind });
        }
    }
}

/// The items of a list with their places; none if there is no such list.
fn items<'a>(object: &'a Value, list: &str) -> impl Iterator<Item = (usize, &'a Value)> {
    object[list].as_array().into_iter().flatten().enumerate()
}
