//! The configuration as one document, and the changes that lead from one version to the next.

use std::collections::BTreeSet;
use std::fmt;

use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::{ConfigVersion, DataCentreId, ModelName, PlanName, ServiceName, WorkspaceId};

/// Plan whose routes need no key.
const OPEN_PLAN: &str = "open";

/// Hash of a caller's key. Keys themselves are never stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key. Keys are long random strings, so a single round of SHA-256 is sufficient.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

/// Formats bytes as lowercase hexadecimal digits.
pub(crate) fn hex_of(bytes: &[u8]) -> String {
    let digit = |value: u8| char::from_digit(value.into(), 16).unwrap_or('0');
    bytes.iter().flat_map(|byte| [digit(byte >> 4), digit(byte & 15)]).collect()
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex_of(&self.0))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

impl std::str::FromStr for KeyHash {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || format!("`{text}` is not a hash of 64 hexadecimal digits");
        if text.len() != 64 || !text.is_ascii() {
            return Err(invalid());
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte =
                u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).map_err(|_| invalid())?;
        }
        Ok(Self(bytes))
    }
}

impl Serialize for KeyHash {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(serde::de::Error::custom)
        } else {
            <[u8; 32]>::deserialize(deserializer).map(Self)
        }
    }
}

/// Entry of the list of plans: a workspace and its plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceEntry {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The plan of the workspace.
    pub plan: PlanName,
    /// Requests per second, over all VMs together.
    pub rate: f64,
    /// Maximum number of requests at once.
    pub burst: f64,
    /// Weight of the workspace when workspaces compete for targets.
    pub weight: f64,
}

/// Entry of the access list: what a plan may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccessEntry {
    /// The plan; the routes of the plan `open` need no key.
    pub plan: PlanName,
    /// Models that the plan may use.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Routes of plain services that the plan may use.
    #[serde(default)]
    pub routes: Vec<RouteRule>,
}

/// Route of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// The service.
    pub service: ServiceName,
    /// Path prefix that the rule matches.
    pub path: String,
    /// Whether a call may be sent again when its outcome is unknown.
    #[serde(default)]
    pub idempotent: bool,
}

/// Properties of a permitted call to a plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// Whether the call may be sent again when its outcome is unknown.
    pub idempotent: bool,
}

/// One change to the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds or replaces a workspace.
    SetWorkspace(WorkspaceEntry),
    /// Removes a workspace and its keys.
    RemoveWorkspace(WorkspaceId),
    /// Adds or replaces what a plan may use.
    SetAccess(AccessEntry),
    /// Removes a plan from the access list.
    RemoveAccess(PlanName),
    /// Assigns a key to a workspace.
    GiveKey(KeyHash, WorkspaceId),
    /// Revokes a key.
    WithdrawKey(KeyHash),
    /// Takes a data centre out of service.
    DataCentreOut(DataCentreId),
    /// Puts a data centre back in service.
    DataCentreBack(DataCentreId),
}

/// Batch of changes that leads to a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedBatch {
    /// The version that the changes lead to.
    pub version: ConfigVersion,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// The configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// The version.
    pub version: ConfigVersion,
    // Copies share unchanged entries, so the cost of a change depends only on what it modifies.
    workspaces: OrdMap<WorkspaceId, WorkspaceEntry>,
    access: OrdMap<PlanName, AccessEntry>,
    keys: OrdMap<KeyHash, WorkspaceId>,
    #[serde(rename = "out")]
    out_of_service: BTreeSet<DataCentreId>,
}

impl ConfigDocument {
    /// Returns the workspace that a key is assigned to.
    pub fn workspace_of(&self, key: &KeyHash) -> Option<&WorkspaceEntry> {
        self.workspaces.get(self.keys.get(key)?)
    }

    /// Returns a workspace by its ID.
    pub fn workspace(&self, workspace: &WorkspaceId) -> Option<&WorkspaceEntry> {
        self.workspaces.get(workspace)
    }

    /// Iterates over all workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceEntry> {
        self.workspaces.values()
    }

    /// Iterates over the access list.
    pub fn access(&self) -> impl Iterator<Item = &AccessEntry> {
        self.access.values()
    }

    /// Iterates over the hashes of all keys, each with its workspace.
    pub fn keys(&self) -> impl Iterator<Item = (&KeyHash, &WorkspaceId)> {
        self.keys.iter()
    }

    /// Iterates over the data centres out of service.
    pub fn data_centres_out(&self) -> impl Iterator<Item = &DataCentreId> {
        self.out_of_service.iter()
    }

    /// Returns whether a data centre is out of service.
    pub fn is_out_of_service(&self, data_centre: &DataCentreId) -> bool {
        self.out_of_service.contains(data_centre)
    }

    /// Returns the models that a workspace may use.
    pub fn models_of(&self, workspace: &WorkspaceEntry) -> &[ModelName] {
        self.access.get(&workspace.plan).map_or(&[], |entry| &entry.models)
    }

    /// Returns whether a workspace may use a model.
    pub fn may_use_model(&self, workspace: &WorkspaceEntry, model: &ModelName) -> bool {
        self.models_of(workspace).contains(model)
    }

    /// Returns how a workspace may call a service, or `None` if it may not.
    ///
    /// Without a workspace, the rules for callers without a key apply. The longest matching path prefix
    /// decides.
    pub fn service_call(
        &self,
        workspace: Option<&WorkspaceEntry>,
        service: &ServiceName,
        path: &str,
    ) -> Option<ServiceCall> {
        let open_plan = PlanName::from(OPEN_PLAN);
        let plan = workspace.map_or(&open_plan, |entry| &entry.plan);
        let rules = self.access.get(plan)?.routes.iter();
        rules
            .filter(|rule| rule.service == *service && path_matches(&rule.path, path))
            .max_by_key(|rule| rule.path.len())
            .map(|rule| ServiceCall { idempotent: rule.idempotent })
    }

    /// Applies the batch that leads to the next version.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with the index of its change; the document is unchanged in this case.
    pub fn apply(&mut self, batch: &VersionedBatch) -> Result<(), Vec<String>> {
        if batch.version != self.version.next() {
            return Err(vec![format!(
                "version {} does not follow {}",
                batch.version, self.version
            )]);
        }
        let mut next = self.clone();
        let mut errors = Vec::new();
        for (index, change) in batch.changes.iter().enumerate() {
            if let Err(error) = next.apply_change(change) {
                errors.push(format!("changes[{index}]: {error}"));
            }
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        next.version = batch.version;
        *self = next;
        Ok(())
    }

    fn apply_change(&mut self, change: &Change) -> Result<(), String> {
        match change {
            Change::SetWorkspace(entry) => {
                check_workspace(entry)?;
                self.workspaces.insert(entry.workspace.clone(), entry.clone());
            }
            Change::RemoveWorkspace(workspace) => {
                let removed = self.workspaces.remove(workspace);
                removed.ok_or_else(|| format!("workspace `{workspace}` does not exist"))?;
                let owned = self.keys.iter().filter(|(_, owner)| *owner == workspace);
                let owned: Vec<KeyHash> = owned.map(|(key, _)| *key).collect();
                for key in owned {
                    self.keys.remove(&key);
                }
            }
            Change::SetAccess(entry) => {
                check_access(entry)?;
                self.access.insert(entry.plan.clone(), entry.clone());
            }
            Change::RemoveAccess(plan) => {
                let removed = self.access.remove(plan);
                removed.ok_or_else(|| format!("plan `{plan}` does not exist"))?;
            }
            Change::GiveKey(key, workspace) => {
                if !self.workspaces.contains_key(workspace) {
                    return Err(format!("workspace `{workspace}` does not exist"));
                }
                if self.keys.get(key).is_some_and(|owner| owner != workspace) {
                    return Err("the key belongs to another workspace".to_owned());
                }
                self.keys.insert(*key, workspace.clone());
            }
            Change::WithdrawKey(key) => {
                self.keys.remove(key).ok_or("the key does not exist")?;
            }
            Change::DataCentreOut(data_centre) => {
                self.out_of_service.insert(data_centre.clone());
            }
            Change::DataCentreBack(data_centre) => {
                self.out_of_service.remove(data_centre);
            }
        }
        Ok(())
    }
}

/// Returns whether `path` is `prefix` or lies below it.
fn path_matches(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn check_name(kind: &str, name: &str) -> Result<(), String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > 64 || !name.chars().all(allowed) {
        return Err(format!("{kind} `{name}` must have 1 to 64 letters, digits, `-`, `_` or `.`"));
    }
    Ok(())
}

fn check_workspace(entry: &WorkspaceEntry) -> Result<(), String> {
    check_name("workspace", entry.workspace.as_str())?;
    check_name("plan", entry.plan.as_str())?;
    for (field, value, min) in
        [("rate", entry.rate, 0.001), ("burst", entry.burst, 1.0), ("weight", entry.weight, 0.001)]
    {
        if !(value.is_finite() && value >= min) {
            return Err(format!("`{field}` must be at least {min}, not `{value}`"));
        }
    }
    Ok(())
}

fn check_access(entry: &AccessEntry) -> Result<(), String> {
    check_name("plan", entry.plan.as_str())?;
    for rule in &entry.routes {
        check_name("service", rule.service.as_str())?;
        if !rule.path.starts_with('/') || rule.path.contains("..") {
            return Err(format!("path `{}` must start with `/` and not contain `..`", rule.path));
        }
    }
    Ok(())
}
