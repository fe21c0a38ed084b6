//! TCP relays between processes whose traffic can be interrupted and delayed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// The interval at which a cut link checks whether it has been restored.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A TCP relay to one target address that can be cut.
///
/// While the link is cut, received bytes are kept and forwarded after the link
/// is restored. New connections are accepted, but the connection to the target
/// is opened only after the link is restored.
#[derive(Debug, Clone)]
pub struct CuttableLink {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl CuttableLink {
    /// Starts a relay to `target` that delays each chunk of bytes by `delay`, in
    /// both directions.
    ///
    /// # Errors
    /// Fails when no local port can be bound.
    pub async fn open(target: SocketAddr, delay: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let is_cut = Arc::new(AtomicBool::new(false));
        let relay_is_cut = Arc::clone(&is_cut);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let is_cut = Arc::clone(&relay_is_cut);
                tokio::spawn(async move {
                    if let Err(error) = relay_connection(stream, target, &is_cut, delay).await {
                        log::debug!("a connection through a cuttable link failed: {error}");
                    }
                });
            }
        });
        Ok(Self { address, is_cut })
    }

    /// Returns the relay's listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the link if `is_cut` is true and restores it otherwise.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

async fn relay_connection(
    client: TcpStream,
    target: SocketAddr,
    is_cut: &AtomicBool,
    delay: Duration,
) -> std::io::Result<()> {
    wait_until_restored(is_cut).await;
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::try_join!(
        forward_bytes(client_read, server_write, is_cut, delay),
        forward_bytes(server_read, client_write, is_cut, delay),
    )?;
    Ok(())
}

async fn wait_until_restored(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        tokio::time::sleep(CUT_POLL_INTERVAL).await;
    }
}

async fn forward_bytes(
    mut source: tokio::net::tcp::OwnedReadHalf,
    mut destination: tokio::net::tcp::OwnedWriteHalf,
    is_cut: &AtomicBool,
    delay: Duration,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 32 * 1024];
    loop {
        let size = source.read(&mut buffer).await?;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        wait_until_restored(is_cut).await;
        if size == 0 {
            return destination.shutdown().await;
        }
        destination.write_all(&buffer[..size]).await?;
    }
}
