//! Checks of a document that involve several fields.

use std::collections::BTreeMap;

use serde_json::Value;
use smol_str::SmolStr;

use crate::fault::{Fault, Kind, Path};

/// Most names that a message lists.
const MAX_LISTED_NAMES: usize = 8;

/// Returns every fault that involves several fields of a document. Fields that are invalid by
/// themselves are skipped.
pub(super) fn faults(document: &Value) -> Vec<Fault> {
    let mut faults = Vec::new();
    let owners = Names::new(document, "owners", |item| item);
    let accounts = Names::new(document, "accounts", |item| &item["id"]);
    let pools = Names::new(document, "pools", |item| &item["id"]);
    owners.check_duplicates(None, &mut faults);
    accounts.check_duplicates(Some("id"), &mut faults);
    pools.check_duplicates(Some("id"), &mut faults);
    check_keys(document, &mut faults);
    owners.check_references(document, "accounts", "owner", &mut faults);
    owners.check_references(document, "pools", "owner", &mut faults);
    pools.check_references(document, "models", "pool", &mut faults);
    check_models(document, &mut faults);
    check_calls(document, &mut faults);
    faults
}

/// The names that a list defines, in its order.
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

    /// Adds a fault for each repetition of a name.
    fn check_duplicates(&self, field: Option<&str>, faults: &mut Vec<Fault>) {
        let path_of = |index| {
            let item = self.list.index(index);
            field.map_or_else(|| item.clone(), |field| item.field(field))
        };
        let mut first = BTreeMap::new();
        for &(index, name) in &self.names {
            let Some(&earlier) = first.get(name) else {
                first.insert(name, index);
                continue;
            };
            let kind = Kind::Duplicate { name: name.into(), first: path_of(earlier) };
            faults.push(Fault { path: path_of(index), kind });
        }
    }

    /// Adds a fault for each item of another list whose `field` is none of these names.
    fn check_references(&self, document: &Value, list: &str, field: &str, faults: &mut Vec<Fault>) {
        for (index, item) in items(document, list) {
            let Some(name) = item[field].as_str() else { continue };
            if self.names.iter().any(|&(_, known)| known == name) {
                continue;
            }
            let path = Path::default().field(list).index(index).field(field);
            let known =
                self.names.iter().take(MAX_LISTED_NAMES).map(|&(_, name)| name.into()).collect();
            let kind = Kind::UnknownName { name: name.into(), list: self.list.clone(), known };
            faults.push(Fault { path, kind });
        }
    }
}

/// Adds a fault for each bearer key that two accounts share, since the key identifies the account.
fn check_keys(document: &Value, faults: &mut Vec<Fault>) {
    Names::new(document, "accounts", |item| &item["key_sha256"])
        .check_duplicates(Some("key_sha256"), faults);
}

/// Adds a fault for each model that appears twice or is assigned to a pool of desk runners.
fn check_models(document: &Value, faults: &mut Vec<Fault>) {
    let list = Path::default().field("models");
    let mut first = BTreeMap::<&str, (usize, &str)>::new();
    for (index, item) in items(document, "models") {
        let (Some(id), Some(pool)) = (item["id"].as_str(), item["pool"].as_str()) else { continue };
        if has_runners(document, pool) {
            let path = list.index(index).field("pool");
            faults.push(Fault { path, kind: Kind::NotEnginePool(pool.into()) });
        }
        let Some(&(earlier, other)) = first.get(id) else {
            first.insert(id, (index, pool));
            continue;
        };
        let (name, first) = (SmolStr::from(id), list.index(earlier));
        let kind = match other == pool {
            true => Kind::Duplicate { name, first: first.field("id") },
            false => Kind::SharedModel { name, pool: other.into(), first: first.field("pool") },
        };
        faults.push(Fault { path: list.index(index).field("id"), kind });
    }
}

fn has_runners(document: &Value, pool: &str) -> bool {
    let mut pools = items(document, "pools");
    pools.any(|(_, item)| item["id"] == pool && item["kind"].get("runner").is_some())
}

/// Adds a fault for each repeatable call that a pool lists twice.
fn check_calls(document: &Value, faults: &mut Vec<Fault>) {
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

/// Returns the items of a list with their indices, or none if there is no such list.
fn items<'a>(object: &'a Value, list: &str) -> impl Iterator<Item = (usize, &'a Value)> {
    object[list].as_array().into_iter().flatten().enumerate()
}
