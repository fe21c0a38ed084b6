//! The command-line tool for operators.

use std::process::ExitCode;

use bluebellferry_ctl::api;
use bluebellferry_ctl::command;
use bluebellferry_ctl::review;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "xflags writes these items")]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Operates bluebellferry and explains its configuration and behaviour.
        ///
        /// Exit codes: 0 success, 1 unreadable file, invalid document or failed
        /// precondition, 2 the VM does not respond, 3 the VM refused the request,
        /// 4 another operator's change came first, 5 the document is stored but
        /// not every VM uses it yet.
        cmd bluebellferry-ctl {
            /// The administration API of a VM, host:port (default: 127.0.0.1:7500).
            optional --api api: String
            /// The operator's token (default: $BLUEBELLFERRY_TOKEN).
            optional --token token: String

            /// Validates a document file; prints the JSON path of the first invalid value.
            cmd check {
                required file: PathBuf
            }
            /// Reviews a configuration for the users' platform before it is sent: errors, entries
            /// that can never match, limits that contradict each other, and changes.
            cmd review {
                required file: PathBuf
                /// The configuration in force, to show what would change.
                optional --against against: PathBuf
                /// Prints the findings as JSON.
                optional --json
            }
            /// Applies a document file to the VM's environment and waits until every VM uses it.
            cmd try {
                required file: PathBuf
            }
            /// Applies the document of the environment at --api, byte for byte, to another environment.
            cmd promote {
                /// The administration API of a VM of the other environment, host:port.
                required to: String
                /// The operator's token in the other environment (default: the same token).
                optional --to-token to_token: String
            }
            /// Compares the environment's document with a file.
            cmd diff {
                required file: PathBuf
            }
            /// Shows the operators' changes as JSON.
            cmd history {}
            /// Shows the status of a VM as JSON.
            cmd status {}
            /// Creates, withdraws and lists the keys of workspaces.
            cmd key {
                /// Creates a key for a workspace and shows the key, which cannot be shown again.
                cmd give {
                    required workspace: String
                    /// A label that describes the key.
                    required label: String
                }
                /// Withdraws a key by the id that `key list` shows.
                cmd withdraw {
                    required workspace: String
                    required id: String
                }
                /// Lists keys.
                cmd list {}
            }
            /// Drains a VM: it accepts no new work and finishes what is running.
            cmd drain {}
            /// Explains configuration and behaviour in plain sentences.
            cmd explain {
                /// Explains a document file.
                cmd document {
                    required file: PathBuf
                }
                /// Explains a refusal from its DETAIL line or reason code.
                cmd refusal {
                    required detail: String
                }
                /// Explains the latest failovers that a VM has observed.
                cmd failover {}
                /// Explains the request counters of a VM since its start.
                cmd day {}
            }
        }
    }
}

/// The default address of the administration API.
const DEFAULT_API_ADDRESS: &str = "127.0.0.1:7500";

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let flags = flags::BluebellferryCtl::from_env_or_exit();
    match dispatch(flags).await {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn dispatch(flags: flags::BluebellferryCtl) -> Result<String, command::CtlError> {
    let address = flags.api.unwrap_or_else(|| DEFAULT_API_ADDRESS.to_owned());
    let token_from_environment = || std::env::var("BLUEBELLFERRY_TOKEN").unwrap_or_default();
    let token = flags.token.unwrap_or_else(token_from_environment);
    let client = api::AdminClient::new(&address, &token);
    match flags.subcommand {
        flags::BluebellferryCtlCmd::Check(check) => {
            command::check_file(&check.file)?;
            Ok(format!("{} is valid.", check.file.display()))
        }
        flags::BluebellferryCtlCmd::Review(flags) => {
            let findings = review::review_file(&flags.file, flags.against.as_deref())?;
            let text = review::render(&findings, flags.json)
                .map_err(|error| command::CtlError::PreconditionFailed(error.to_string()))?;
            if review::has_errors(&findings) {
                return Err(command::CtlError::PreconditionFailed(text));
            }
            Ok(text)
        }
        flags::BluebellferryCtlCmd::Try(apply) => command::apply_file(&client, &apply.file).await,
        flags::BluebellferryCtlCmd::Promote(promote) => {
            let token = promote.to_token.unwrap_or(token);
            command::promote_document(&client, &api::AdminClient::new(&promote.to, &token)).await
        }
        flags::BluebellferryCtlCmd::Diff(diff) => command::diff_document(&client, &diff.file).await,
        flags::BluebellferryCtlCmd::History(_) => show_json(&client, "/v1/history").await,
        flags::BluebellferryCtlCmd::Status(_) => show_json(&client, "/v1/status").await,
        flags::BluebellferryCtlCmd::Key(key) => run_key(&client, key.subcommand).await,
        flags::BluebellferryCtlCmd::Drain(_) => {
            client
                .send_empty(reqwest::Method::POST, "/v1/drain")
                .await?;
            Ok("The VM takes no new work and finishes what is running.".to_owned())
        }
        flags::BluebellferryCtlCmd::Explain(explain) => {
            run_explain(&client, explain.subcommand).await
        }
    }
}

async fn show_json(client: &api::AdminClient, path: &str) -> Result<String, command::CtlError> {
    let value: serde_json::Value = client.get(path).await?;
    Ok(format!("{value:#}"))
}

async fn run_key(
    client: &api::AdminClient,
    key: flags::KeyCmd,
) -> Result<String, command::CtlError> {
    match key {
        flags::KeyCmd::Give(give) => {
            let path = format!("/v1/keys/{}", give.workspace);
            let body = serde_json::json!({"label": give.label});
            let created: serde_json::Value = client
                .send_json(reqwest::Method::POST, &path, &body)
                .await?;
            Ok(format!("{created:#}"))
        }
        flags::KeyCmd::Withdraw(withdraw) => {
            let path = format!("/v1/keys/{}/{}", withdraw.workspace, withdraw.id);
            client.send_empty(reqwest::Method::DELETE, &path).await
        }
        flags::KeyCmd::List(_) => show_json(client, "/v1/keys").await,
    }
}

async fn run_explain(
    client: &api::AdminClient,
    explain: flags::ExplainCmd,
) -> Result<String, command::CtlError> {
    match explain {
        flags::ExplainCmd::Document(document) => command::explain_file(&document.file),
        flags::ExplainCmd::Refusal(refusal) => {
            let text = command::explain_refusal(&refusal.detail);
            text.ok_or_else(|| {
                let text = format!("'{}' is neither a DETAIL line nor a reason", refusal.detail);
                command::CtlError::PreconditionFailed(text)
            })
        }
        flags::ExplainCmd::Failover(_) => command::explain_failovers(client).await,
        flags::ExplainCmd::Day(_) => command::explain_traffic(client).await,
    }
}
