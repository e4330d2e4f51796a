//! Runs the commands against the operator interface of a VM.

use ebonydock::{
    AccessEntry, Change, ConfigReply, ConfigVersion, DataCentreId, EditBody, EditReply, KeyHash,
    PlanName, StatusReply, WorkspaceEntry, WorkspaceId,
};
use ntex::client::Client;
use serde::de::DeserializeOwned;

use crate::explain::explain;
use crate::options::{CommandOptions, USAGE};
use crate::output;

const TIMEOUT_MS: u32 = 15_000;
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;

/// Client of the operator interface of one VM.
struct OperatorClient<'a> {
    client: Client,
    options: &'a CommandOptions,
}

/// Runs the command given by `options.command`. Errors are texts for the operator.
pub(crate) async fn run(options: &CommandOptions) -> Result<(), String> {
    let command: Vec<&str> = options.command.iter().map(String::as_str).collect();
    if let ["explain", id, files @ ..] = command.as_slice() {
        if files.is_empty() {
            return Err("`explain` needs the log file of at least one VM".to_owned());
        }
        print!("{}", explain(id, files)?);
        return Ok(());
    }
    let client = OperatorClient::open(options).await?;
    match command.as_slice() {
        ["status"] => client.show::<StatusReply>("status", output::status).await,
        ["jobs"] => client.show::<serde_json::Value>("jobs", output::jobs).await,
        ["plans", "show"] => client.show::<ConfigReply>("config", output::plans).await,
        ["access", "show"] => client.show::<ConfigReply>("config", output::access).await,
        ["keys", "show"] => client.show::<ConfigReply>("config", output::keys).await,
        ["plans", "set", file] => {
            let entries: Vec<WorkspaceEntry> = read_list(file)?;
            client.edit(entries.into_iter().map(Change::SetWorkspace).collect()).await
        }
        ["plans", "remove", name] => {
            client.edit(vec![Change::RemoveWorkspace(WorkspaceId::from(*name))]).await
        }
        ["access", "set", file] => {
            let entries: Vec<AccessEntry> = read_list(file)?;
            client.edit(entries.into_iter().map(Change::SetAccess).collect()).await
        }
        ["access", "remove", plan] => {
            client.edit(vec![Change::RemoveAccess(PlanName::from(*plan))]).await
        }
        ["keys", "give", workspace, key] => {
            let workspace = WorkspaceId::from(*workspace);
            client.edit(vec![Change::GiveKey(KeyHash::of(key), workspace)]).await
        }
        ["keys", "withdraw", key] => {
            let hash = key.parse().unwrap_or_else(|_| KeyHash::of(key));
            client.edit(vec![Change::WithdrawKey(hash)]).await
        }
        ["data-centre", "out", name] => {
            client.edit(vec![Change::DataCentreOut(DataCentreId::from(*name))]).await
        }
        ["data-centre", "back", name] => {
            client.edit(vec![Change::DataCentreBack(DataCentreId::from(*name))]).await
        }
        other => Err(format!("unknown command `{}`\n\n{USAGE}", other.join(" "))),
    }
}

fn read_list<T: DeserializeOwned>(file: &str) -> Result<Vec<T>, String> {
    let text =
        std::fs::read_to_string(file).map_err(|error| format!("cannot read `{file}`: {error}"))?;
    serde_json::from_str(&text).map_err(|error| format!("`{file}` is not valid: {error}"))
}

impl<'a> OperatorClient<'a> {
    async fn open(options: &'a CommandOptions) -> Result<Self, String> {
        let builder = Client::builder()
            .response_timeout(ntex::time::Millis(TIMEOUT_MS))
            .response_payload_limit(MAX_BODY_BYTES);
        let client = builder.build(ntex::SharedCfg::default()).await;
        Ok(Self { client: client.map_err(|error| error.to_string())?, options })
    }

    fn key(&self) -> &str {
        self.options.key.as_deref().unwrap_or_default()
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, String> {
        let url = format!("http://{}/operator/v1/{path}", self.options.address);
        let request = self.client.get(url).header("x-operator-key", self.key());
        let response = request.send().await.map_err(|error| self.unreachable_error(&error))?;
        read_reply(&response).await
    }

    async fn show<T: DeserializeOwned + serde::Serialize>(
        &self,
        path: &str,
        print: fn(&T),
    ) -> Result<(), String> {
        let reply: T = self.get(path).await?;
        if self.options.json {
            output::json(&reply);
        } else {
            print(&reply);
        }
        Ok(())
    }

    async fn edit(&self, changes: Vec<Change>) -> Result<(), String> {
        let base_version = match self.options.base_version {
            Some(version) => ConfigVersion(version),
            None => self.get::<ConfigReply>("config").await?.version,
        };
        let url = format!("http://{}/operator/v1/changes", self.options.address);
        let request = self.client.post(url).header("x-operator-key", self.key());
        let body = EditBody { base_version, changes };
        let response =
            request.send_json(&body).await.map_err(|error| self.unreachable_error(&error))?;
        let reply: EditReply = read_reply(&response).await?;
        if self.options.json {
            output::json(&reply);
        } else {
            output::edit(&reply);
        }
        Ok(())
    }

    fn unreachable_error(&self, error: &impl std::fmt::Display) -> String {
        format!("the VM at `{}` did not respond: {error}", self.options.address)
    }
}

async fn read_reply<T: DeserializeOwned>(
    response: &ntex::client::ClientResponse,
) -> Result<T, String> {
    let body = response.body().await.map_err(|error| error.to_string())?;
    if response.status().is_success() {
        return serde_json::from_slice(&body).map_err(|error| error.to_string());
    }
    let refusal: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    match refusal["error"]["message"].as_str() {
        Some(message) => Err(message.to_owned()),
        None => Err(format!("the VM refused the request with status {}", response.status())),
    }
}
