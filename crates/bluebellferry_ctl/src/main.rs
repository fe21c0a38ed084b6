//! The operators' command.

use std::process::ExitCode;

use bluebellferry_ctl::api;
use bluebellferry_ctl::command;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "xflags writes these items")]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs and explains bluebellferry.
        ///
        /// Exit codes: 0 done, 1 a file or document is at fault, 2 the VM does
        /// not answer, 3 refused, 4 another operator's change came first,
        /// 5 stored but not in force everywhere.
        cmd bluebellferry-ctl {
            /// The administration API of a VM, host:port (default: 127.0.0.1:7500).
            optional --api api: String
            /// The operator's token (default: $BLUEBELLFERRY_TOKEN).
            optional --token token: String

            /// Checks a document file; names the JSON path of a fault.
            cmd check {
                required file: PathBuf
            }
            /// Puts a document file in force in the VM's environment.
            cmd try {
                required file: PathBuf
            }
            /// Moves the document in force at --api, byte for byte, to another environment.
            cmd promote {
                /// The administration API of a VM of the other environment.
                required to: String
                /// The operator's token there (default: the same).
                optional --to-token to_token: String
            }
            /// Compares the document in force with a file.
            cmd diff {
                required file: PathBuf
            }
            /// Shows who changed what.
            cmd history {}
            /// Shows the state of a VM as JSON.
            cmd status {}
            /// Gives, withdraws and lists keys.
            cmd key {
                /// Gives a workspace a new key and shows it once.
                cmd give {
                    required workspace: String
                    /// What the key is called.
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
            /// Lets a VM finish its work and take no more.
            cmd drain {}
            /// Explains in sentences to repeat to a manager.
            cmd explain {
                /// Explains a document file.
                cmd document {
                    required file: PathBuf
                }
                /// Explains a refusal from its DETAIL line or reason.
                cmd refusal {
                    required detail: String
                }
                /// Explains the changes of primary that a VM has seen.
                cmd failover {}
                /// Explains the figures of a VM.
                cmd day {}
            }
        }
    }
}

/// Where an API listens when nothing else is said.
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
    let from_environment = || std::env::var("BLUEBELLFERRY_TOKEN").unwrap_or_default();
    let token = flags.token.unwrap_or_else(from_environment);
    let client = api::AdminClient::new(&address, &token);
    match flags.subcommand {
        flags::BluebellferryCtlCmd::Check(check) => {
            command::check_file(&check.file)?;
            Ok(format!("{} is valid.", check.file.display()))
        }
        flags::BluebellferryCtlCmd::Try(tried) => command::apply_file(&client, &tried.file).await,
        flags::BluebellferryCtlCmd::Promote(promote) => {
            let token = promote.to_token.unwrap_or(token);
            command::promote_document(&client, &api::AdminClient::new(&promote.to, &token)).await
        }
        flags::BluebellferryCtlCmd::Diff(diff) => command::diff_document(&client, &diff.file).await,
        flags::BluebellferryCtlCmd::History(_) => show(&client, "/v1/history").await,
        flags::BluebellferryCtlCmd::Status(_) => show(&client, "/v1/status").await,
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

async fn show(client: &api::AdminClient, path: &str) -> Result<String, command::CtlError> {
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
            let given: serde_json::Value = client
                .send_json(reqwest::Method::POST, &path, &body)
                .await?;
            Ok(format!("{given:#}"))
        }
        flags::KeyCmd::Withdraw(withdraw) => {
            let path = format!("/v1/keys/{}/{}", withdraw.workspace, withdraw.id);
            client.send_empty(reqwest::Method::DELETE, &path).await
        }
        flags::KeyCmd::List(_) => show(client, "/v1/keys").await,
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
