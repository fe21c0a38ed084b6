//! Links between processes that can be delayed, cut, silenced and reset.

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

/// How many bytes are carried at once.
const BUFFER_BYTES: usize = 32 * 1024;

/// The state of one direction of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum WayState {
    /// All passes.
    #[default]
    Open,
    /// All passes later by so many milliseconds.
    Delayed(u64),
    /// Bytes wait until the way is mended; datagrams are lost.
    Cut,
    /// Bytes are taken and lost, so that their connection never carries any
    /// again in this direction; datagrams are lost.
    Silenced,
}

impl WayState {
    const fn is_closed(self) -> bool {
        matches!(self, Self::Cut | Self::Silenced)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct LinkState {
    ways: [WayState; 2],
    resets: u64,
}

/// A link as one of its ends sees it.
#[derive(Debug, Clone)]
pub struct RelayLink {
    state: Arc<watch::Sender<LinkState>>,
    /// The index of the way that leads away from this end.
    there: usize,
}

impl Default for RelayLink {
    fn default() -> Self {
        Self {
            state: Arc::new(watch::Sender::default()),
            there: 0,
        }
    }
}

impl RelayLink {
    /// Returns the link as its other end sees it.
    pub fn from_other_end(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            there: 1 - self.there,
        }
    }

    /// Sets the ways that lead away from this end and back.
    pub fn set(&self, there: WayState, back: WayState) {
        self.state.send_modify(|state| {
            state.ways[self.there] = there;
            state.ways[1 - self.there] = back;
        });
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    fn way_there(&self) -> WayState {
        self.state.borrow().ways[self.there]
    }

    async fn wait_until_open(&self) {
        let mut state = self.state.subscribe();
        let is_open = |state: &LinkState| !state.ways[self.there].is_closed();
        // The sender lives as long as this link.
        state.wait_for(is_open).await.ok();
    }

    async fn wait_for_reset(&self) {
        let mut state = self.state.subscribe();
        let resets = state.borrow_and_update().resets;
        state.wait_for(|state| state.resets != resets).await.ok();
    }
}

/// Carries every connection to where `choose` leads; it is given the address that
/// the connection comes from, and may refuse it.
pub async fn relay_connections<F>(listener: TcpListener, choose: F)
where
    F: Fn(SocketAddr) -> Option<(SocketAddr, RelayLink)> + Send + 'static,
{
    loop {
        let (near, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("a relay cannot accept: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        match choose(from) {
            Some((target, link)) => drop(tokio::spawn(carry(near, target, link))),
            None => log::warn!("a relay knows nobody at {from}"),
        }
    }
}

async fn carry(mut near: TcpStream, target: SocketAddr, link: RelayLink) {
    let connecting = async {
        link.wait_until_open().await;
        TcpStream::connect(target).await
    };
    let connected = tokio::select! {
        connected = connecting => connected,
        () = link.wait_for_reset() => return abort(&near),
    };
    let mut far = match connected {
        Ok(far) => far,
        Err(error) => {
            log::debug!("a relay cannot reach {target}: {error}");
            return abort(&near);
        }
    };
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let back = link.from_other_end();
    let both = async {
        tokio::try_join!(
            copy(near_read, far_write, &link),
            copy(far_read, near_write, &back)
        )
    };
    let is_whole = tokio::select! {
        done = both => done.is_ok(),
        () = link.wait_for_reset() => false,
    };
    if !is_whole {
        abort(&near);
        abort(&far);
    }
}

/// Makes the end of a connection a reset.
fn abort(stream: &TcpStream) {
    if let Err(error) = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("a connection cannot be reset: {error}");
    }
}

async fn copy(
    mut from: tcp::ReadHalf<'_>,
    mut to: tcp::WriteHalf<'_>,
    link: &RelayLink,
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_broken = false;
    loop {
        let size = from.read(&mut buffer).await?;
        match link.way_there() {
            WayState::Delayed(millis) => tokio::time::sleep(Duration::from_millis(millis)).await,
            WayState::Silenced => is_broken = true,
            WayState::Open | WayState::Cut => {}
        }
        if is_broken && size > 0 {
            continue;
        }
        link.wait_until_open().await;
        if size == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..size]).await?;
    }
}

/// Sends a datagram over a link.
pub async fn send_datagram(
    source: &Arc<UdpSocket>,
    bytes: &[u8],
    target: SocketAddr,
    link: &RelayLink,
) {
    match link.way_there() {
        WayState::Open => send(source, bytes, target).await,
        WayState::Delayed(millis) => {
            let (source, bytes) = (Arc::clone(source), bytes.to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(millis)).await;
                send(&source, &bytes, target).await;
            });
        }
        WayState::Cut | WayState::Silenced => {}
    }
}

async fn send(source: &UdpSocket, bytes: &[u8], target: SocketAddr) {
    if let Err(error) = source.send_to(bytes, target).await {
        log::debug!("a datagram is lost: {error}");
    }
}
