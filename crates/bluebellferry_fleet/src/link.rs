//! TCP links between processes that can be cut and delayed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// How often a cut link looks whether it has been mended.
const CUT_CHECK: Duration = Duration::from_millis(5);

/// A link to one address. While it is cut, bytes neither pass nor get lost,
/// and new connections are taken but lead nowhere.
#[derive(Debug, Clone)]
pub struct CuttableLink {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl CuttableLink {
    /// Opens a link to `target`, each direction delayed by `delay`.
    ///
    /// # Errors
    /// Fails when no address is free.
    pub async fn open(target: SocketAddr, delay: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let cut = Arc::new(AtomicBool::new(false));
        let shared = Arc::clone(&cut);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let cut = Arc::clone(&shared);
                tokio::spawn(async move {
                    if let Err(error) = carry(stream, target, &cut, delay).await {
                        log::debug!("a link ended: {error}");
                    }
                });
            }
        });
        Ok(Self { address, cut })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts or mends the link.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

async fn carry(
    near: TcpStream,
    target: SocketAddr,
    cut: &AtomicBool,
    delay: Duration,
) -> std::io::Result<()> {
    wait_until_mended(cut).await;
    let far = TcpStream::connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::try_join!(
        copy(near_read, far_write, cut, delay),
        copy(far_read, near_write, cut, delay),
    )?;
    Ok(())
}

async fn wait_until_mended(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        tokio::time::sleep(CUT_CHECK).await;
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    cut: &AtomicBool,
    delay: Duration,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 32 * 1024];
    loop {
        let size = from.read(&mut buffer).await?;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        wait_until_mended(cut).await;
        if size == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..size]).await?;
    }
}
