//! What relays do to connections and datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_soak::relay;
use bluebellferry_soak::relay::WayState;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;

/// What is longer than loopback takes, and shorter than any test waits.
const SOON: Duration = Duration::from_millis(150);

struct RelayedPair {
    link: relay::RelayLink,
    near: TcpStream,
    far: TcpStream,
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it listens");
    let address = listener.local_addr().expect("it has an address");
    (listener, address)
}

async fn connect() -> RelayedPair {
    let (target, target_address) = listen().await;
    let (listener, address) = listen().await;
    let link = relay::RelayLink::default();
    let chosen = link.clone();
    let choose = move |_| Some((target_address, chosen.clone()));
    tokio::spawn(relay::relay_connections(listener, choose));
    let near = TcpStream::connect(address).await.expect("it connects");
    let (far, _) = target.accept().await.expect("it is connected to");
    RelayedPair { link, near, far }
}

/// Returns the byte that comes soon, if one does.
async fn byte_soon(stream: &mut TcpStream) -> Option<u8> {
    let read = tokio::time::timeout(SOON, stream.read_u8()).await;
    read.ok().map(|read| read.expect("the connection holds"))
}

async fn write(stream: &mut TcpStream, byte: u8) {
    stream.write_u8(byte).await.expect("the connection holds");
}

#[tokio::test]
async fn an_open_link_carries_both_ways_and_its_end() {
    let mut pair = connect().await;
    write(&mut pair.near, 1).await;
    assert_eq!(byte_soon(&mut pair.far).await, Some(1));
    write(&mut pair.far, 2).await;
    assert_eq!(byte_soon(&mut pair.near).await, Some(2));
    pair.near.shutdown().await.expect("it ends");
    let read = pair.far.read(&mut [0; 8]).await;
    assert_eq!(read.expect("the connection holds"), 0);
}

#[tokio::test]
async fn a_delayed_way_delivers_later() {
    let mut pair = connect().await;
    pair.link.set(WayState::Delayed(300), WayState::Open);
    let sent = Instant::now();
    write(&mut pair.near, 1).await;
    assert_eq!(pair.far.read_u8().await.expect("it comes"), 1);
    assert!(sent.elapsed() >= Duration::from_millis(300));
    write(&mut pair.far, 2).await;
    assert_eq!(byte_soon(&mut pair.near).await, Some(2));
}

#[tokio::test]
async fn a_link_that_is_cut_one_way_delivers_the_other_and_all_once_it_is_mended() {
    let mut pair = connect().await;
    pair.link.set(WayState::Cut, WayState::Open);
    write(&mut pair.near, 1).await;
    assert_eq!(byte_soon(&mut pair.far).await, None);
    write(&mut pair.far, 2).await;
    assert_eq!(byte_soon(&mut pair.near).await, Some(2));
    pair.link.set(WayState::Open, WayState::Open);
    assert_eq!(byte_soon(&mut pair.far).await, Some(1));
}

#[tokio::test]
async fn a_silenced_connection_stays_silent() {
    let mut pair = connect().await;
    pair.link.set(WayState::Silenced, WayState::Silenced);
    write(&mut pair.near, 1).await;
    assert_eq!(byte_soon(&mut pair.far).await, None);
    pair.link.set(WayState::Open, WayState::Open);
    write(&mut pair.near, 2).await;
    assert_eq!(byte_soon(&mut pair.far).await, None);
}

#[tokio::test]
async fn a_reset_ends_connections_at_both_ends() {
    let mut pair = connect().await;
    write(&mut pair.near, 1).await;
    assert_eq!(byte_soon(&mut pair.far).await, Some(1));
    pair.link.reset();
    for stream in [&mut pair.near, &mut pair.far] {
        let read = tokio::time::timeout(SOON, stream.read_u8()).await;
        let error = read.expect("it ends soon").expect_err("it ends");
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    }
}

#[tokio::test]
async fn datagrams_are_delayed_or_lost_with_their_way() {
    let bind = async || Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("it binds"));
    let (source, target) = (bind().await, bind().await);
    let address = target.local_addr().expect("it has an address");
    let link = relay::RelayLink::default();
    let receive = async || {
        let mut buffer = [0; 8];
        let received = tokio::time::timeout(SOON, target.recv(&mut buffer)).await;
        received.is_ok().then(|| buffer[0])
    };
    relay::send_datagram(&source, &[1], address, &link).await;
    assert_eq!(receive().await, Some(1));
    for lost in [WayState::Cut, WayState::Silenced] {
        link.set(lost, WayState::Open);
        relay::send_datagram(&source, &[2], address, &link).await;
        assert_eq!(receive().await, None);
        let back = link.from_other_end();
        relay::send_datagram(&source, &[3], address, &back).await;
        assert_eq!(receive().await, Some(3));
    }
    link.set(WayState::Delayed(250), WayState::Open);
    relay::send_datagram(&source, &[4], address, &link).await;
    assert_eq!(receive().await, None);
    assert_eq!(receive().await, Some(4));
}
