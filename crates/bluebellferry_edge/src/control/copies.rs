//! Copies of the configuration between VMs, for those that the store turns away.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bluebellferry_platform::http;
use bluebellferry_runtime::clock;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::control;
use crate::control::configuration;

/// How long a copy may take.
const COPY_LIMIT: Duration = Duration::from_millis(1_500);
/// The largest copy, in bytes; the store holds no larger value.
const MAX_COPY_BYTES: u64 = 4 << 20;

/// Serves copies until the process ends.
pub async fn serve(control: control::ControlCell, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let control = Rc::clone(&control);
        tokio::task::spawn_local(async move {
            let text = control.borrow().configuration.text.clone();
            let served = tokio::time::timeout(COPY_LIMIT, send_copy(stream, &text)).await;
            if !matches!(served, Ok(Ok(()))) {
                log::debug!("a copy of the configuration was not taken");
            }
        });
    }
}

async fn send_copy(mut stream: TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(text.as_bytes()).await?;
    stream.shutdown().await
}

/// Fetches a copy from another VM, unless one is on its way.
pub fn fetch(control: &control::ControlCell, from: IpAddr) {
    let control = Rc::clone(control);
    tokio::task::spawn_local(async move {
        let port = control.borrow().shared.settings.copies_address.port();
        let received = receive_copy(SocketAddr::new(from, port)).await;
        match received.map(|text| serde_json::from_str(&text).map(|value| (value, text))) {
            Ok(Ok((value, text))) => {
                configuration::apply_text(&control, &value, text, "another VM");
            }
            Ok(Err(error)) => log::warn!(error:% = error; "a copy cannot be decoded"),
            Err(error) => log::debug!(error:% = error; "no copy from another VM"),
        }
    });
}

async fn receive_copy(from: SocketAddr) -> std::io::Result<String> {
    let deadline = clock::now() + COPY_LIMIT;
    let stream = http::connect(from, COPY_LIMIT).await?;
    let mut text = String::new();
    let left = deadline.saturating_duration_since(clock::now());
    let mut limited = stream.take(MAX_COPY_BYTES);
    tokio::time::timeout(left, limited.read_to_string(&mut text)).await??;
    Ok(text)
}
