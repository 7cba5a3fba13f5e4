//! Parser for the platform's instance list, in the JSON format of Consul's health API.

use std::{collections::HashMap, net::SocketAddr};

use cuminbank::{
    event::{ListedInstance, ListedRole},
    worker::ResourceSize,
};
use serde::Deserialize;
use serde_json::value::RawValue;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HealthEntry {
    service: ServiceEntry,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ServiceEntry {
    #[serde(rename = "ID")]
    id: String,
    address: String,
    port: u16,
    #[serde(default)]
    meta: HashMap<String, String>,
}

/// Parses the list. Entries with an unknown role, invalid fields or too deep nesting are skipped; a
/// body that is not a JSON list gives `None`.
pub fn parse(body: &[u8]) -> Option<Vec<ListedInstance>> {
    let text = String::from_utf8_lossy(body);
    // Splits the list without parsing the entries, so that an invalid one does not affect others.
    let entries: Vec<&RawValue> = serde_json::from_str(&text).ok()?;
    let parsed = entries.into_iter().filter_map(|entry| serde_json::from_str(entry.get()).ok());
    Some(parsed.filter_map(|entry: HealthEntry| parse_entry(entry.service)).collect())
}

fn parse_entry(entry: ServiceEntry) -> Option<ListedInstance> {
    let text = |name: &str| entry.meta.get(name).cloned().unwrap_or_default();
    let number = |name: &str| entry.meta.get(name).and_then(|value| value.parse::<u64>().ok());
    let role = match text("role").as_str() {
        "entry" => ListedRole::Entry,
        "executor" => ListedRole::Executor {
            slots: u32::try_from(number("slots")?).ok()?,
            connections: u32::try_from(number("connections").unwrap_or(60)).ok()?,
        },
        "worker" => ListedRole::Worker {
            size: ResourceSize {
                millicores: number("millicores")?,
                memory_mib: number("memory_mib")?,
                accelerators: u32::try_from(number("accelerators").unwrap_or(0)).ok()?,
            },
        },
        _ => return None,
    };
    let address = SocketAddr::new(entry.address.parse().ok()?, entry.port);
    Some(ListedInstance {
        role,
        address,
        zone: text("zone"),
        rack: text("rack"),
        machine: text("machine"),
        leaving: text("state") == "leaving",
        name: entry.id,
    })
}
