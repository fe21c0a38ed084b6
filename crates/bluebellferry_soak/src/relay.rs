//! Relays for TCP connections and UDP datagrams whose links can be delayed, cut,
//! silenced and reset.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::net::tcp;
use tokio::sync::watch;

/// The maximum number of bytes that are forwarded at once.
const BUFFER_BYTES: usize = 32 * 1024;

/// The state of one direction of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum DirectionState {
    /// Traffic passes unchanged.
    #[default]
    Open,
    /// Traffic is delayed by the given number of milliseconds.
    Delayed(u64),
    /// Bytes are held back until the direction is reopened; datagrams are dropped.
    Cut,
    /// Bytes and datagrams are dropped. A connection that has lost bytes never carries
    /// any again in this direction.
    Silenced,
}

impl DirectionState {
    const fn is_blocked(self) -> bool {
        matches!(self, Self::Cut | Self::Silenced)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct LinkState {
    directions: [DirectionState; 2],
    resets: u64,
    silences: u64,
}

/// A link between two processes, seen from one of its ends.
#[derive(Debug, Clone)]
pub struct RelayLink {
    state: Arc<watch::Sender<LinkState>>,
    /// The index of the direction that leads away from this end.
    outgoing: usize,
}

impl Default for RelayLink {
    fn default() -> Self {
        Self {
            state: Arc::new(watch::Sender::default()),
            outgoing: 0,
        }
    }
}

impl RelayLink {
    /// Returns the link as seen from its other end.
    pub fn reversed(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            outgoing: 1 - self.outgoing,
        }
    }

    /// Sets the states of the directions away from this end and towards it.
    pub fn set_directions(&self, outgoing: DirectionState, incoming: DirectionState) {
        self.state.send_modify(|state| {
            state.directions[self.outgoing] = outgoing;
            state.directions[1 - self.outgoing] = incoming;
        });
    }

    /// Resets all TCP connections of the link.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Silences all open TCP connections of the link for good. New connections work.
    pub fn silence_open_connections(&self) {
        self.state.send_modify(|state| state.silences += 1);
    }

    fn silences(&self) -> u64 {
        self.state.borrow().silences
    }

    fn outgoing_state(&self) -> DirectionState {
        self.state.borrow().directions[self.outgoing]
    }

    async fn wait_until_unblocked(&self) {
        let mut state = self.state.subscribe();
        let is_open = |state: &LinkState| !state.directions[self.outgoing].is_blocked();
        // Cannot fail: the sender lives as long as this link.
        state.wait_for(is_open).await.ok();
    }

    async fn wait_for_reset(&self) {
        let mut state = self.state.subscribe();
        let resets = state.borrow_and_update().resets;
        state.wait_for(|state| state.resets != resets).await.ok();
    }
}

/// Accepts connections and relays each one to the target that `select_target` returns
/// for its source address. A connection without a target is closed.
pub async fn relay_connections<F>(listener: TcpListener, select_target: F)
where
    F: Fn(SocketAddr) -> Option<(SocketAddr, RelayLink)> + Send + 'static,
{
    loop {
        let (client, source) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("relay failed to accept a connection: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        match select_target(source) {
            Some((target, link)) => drop(tokio::spawn(relay_connection(client, target, link))),
            None => log::warn!("relay closed a connection from the unknown address {source}"),
        }
    }
}

async fn relay_connection(mut client: TcpStream, target: SocketAddr, link: RelayLink) {
    let silences = link.silences();
    let connecting = async {
        link.wait_until_unblocked().await;
        TcpStream::connect(target).await
    };
    let connected = tokio::select! {
        connected = connecting => connected,
        () = link.wait_for_reset() => return reset_on_close(&client),
    };
    let mut server = match connected {
        Ok(server) => server,
        Err(error) => {
            log::debug!("relay failed to connect to {target}: {error}");
            return reset_on_close(&client);
        }
    };
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let incoming = link.reversed();
    let forwarding = async {
        tokio::try_join!(
            forward(client_read, server_write, &link, silences),
            forward(server_read, client_write, &incoming, silences)
        )
    };
    let is_clean_close = tokio::select! {
        finished = forwarding => finished.is_ok(),
        () = link.wait_for_reset() => false,
    };
    if !is_clean_close {
        reset_on_close(&client);
        reset_on_close(&server);
    }
}

/// Makes the kernel send a TCP reset when the connection is closed.
fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("failed to set the linger option for a reset: {error}");
    }
}

/// Forwards one direction of a connection. `silences` is how often the link's open connections had
/// been silenced when this one was accepted.
async fn forward(
    mut source: tcp::ReadHalf<'_>,
    mut sink: tcp::WriteHalf<'_>,
    link: &RelayLink,
    silences: u64,
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_discarding = false;
    loop {
        let size = source.read(&mut buffer).await?;
        is_discarding |= link.silences() != silences;
        match link.outgoing_state() {
            DirectionState::Delayed(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            DirectionState::Silenced => is_discarding = true,
            DirectionState::Open | DirectionState::Cut => {}
        }
        if is_discarding && size > 0 {
            continue;
        }
        link.wait_until_unblocked().await;
        if size == 0 {
            return sink.shutdown().await;
        }
        sink.write_all(&buffer[..size]).await?;
    }
}

/// Sends a datagram over a link.
pub async fn send_datagram(
    source: &Arc<UdpSocket>,
    bytes: &[u8],
    target: SocketAddr,
    link: &RelayLink,
) {
    match link.outgoing_state() {
        DirectionState::Open => send(source, bytes, target).await,
        DirectionState::Delayed(ms) => {
            let (source, bytes) = (Arc::clone(source), bytes.to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                send(&source, &bytes, target).await;
            });
        }
        DirectionState::Cut | DirectionState::Silenced => {}
    }
}

async fn send(source: &UdpSocket, bytes: &[u8], target: SocketAddr) {
    if let Err(error) = source.send_to(bytes, target).await {
        log::debug!("failed to send a datagram: {error}");
    }
}
