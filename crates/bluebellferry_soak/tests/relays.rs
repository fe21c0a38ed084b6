//! What relays do to connections and datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_soak::relay;
use bluebellferry_soak::relay::DirectionState;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;

/// What is longer than loopback takes, and shorter than any test waits.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(150);

struct RelayedPair {
    link: relay::RelayLink,
    client: TcpStream,
    server: TcpStream,
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it listens");
    let address = listener.local_addr().expect("it has an address");
    (listener, address)
}

async fn connect_through_relay() -> RelayedPair {
    let (target, target_address) = listen().await;
    let (listener, address) = listen().await;
    let link = relay::RelayLink::default();
    let target_link = link.clone();
    let select_target = move |_| Some((target_address, target_link.clone()));
    tokio::spawn(relay::relay_connections(listener, select_target));
    let client = TcpStream::connect(address).await.expect("it connects");
    let (server, _) = target.accept().await.expect("it is connected to");
    RelayedPair {
        link,
        client,
        server,
    }
}

/// Returns the byte that comes soon, if one does.
async fn receive_byte(stream: &mut TcpStream) -> Option<u8> {
    let read = tokio::time::timeout(RECEIVE_TIMEOUT, stream.read_u8()).await;
    read.ok().map(|read| read.expect("the connection holds"))
}

async fn write(stream: &mut TcpStream, byte: u8) {
    stream.write_u8(byte).await.expect("the connection holds");
}

#[tokio::test]
async fn an_open_link_carries_both_ways_and_its_end() {
    let mut pair = connect_through_relay().await;
    write(&mut pair.client, 1).await;
    assert_eq!(receive_byte(&mut pair.server).await, Some(1));
    write(&mut pair.server, 2).await;
    assert_eq!(receive_byte(&mut pair.client).await, Some(2));
    pair.client.shutdown().await.expect("it ends");
    let read = pair.server.read(&mut [0; 8]).await;
    assert_eq!(read.expect("the connection holds"), 0);
}

#[tokio::test]
async fn a_delayed_way_delivers_later() {
    let mut pair = connect_through_relay().await;
    pair.link
        .set_directions(DirectionState::Delayed(300), DirectionState::Open);
    let sent = Instant::now();
    write(&mut pair.client, 1).await;
    assert_eq!(pair.server.read_u8().await.expect("it comes"), 1);
    assert!(sent.elapsed() >= Duration::from_millis(300));
    write(&mut pair.server, 2).await;
    assert_eq!(receive_byte(&mut pair.client).await, Some(2));
}

#[tokio::test]
async fn a_link_that_is_cut_one_way_delivers_the_other_and_all_once_it_is_mended() {
    let mut pair = connect_through_relay().await;
    pair.link
        .set_directions(DirectionState::Cut, DirectionState::Open);
    write(&mut pair.client, 1).await;
    assert_eq!(receive_byte(&mut pair.server).await, None);
    write(&mut pair.server, 2).await;
    assert_eq!(receive_byte(&mut pair.client).await, Some(2));
    pair.link
        .set_directions(DirectionState::Open, DirectionState::Open);
    assert_eq!(receive_byte(&mut pair.server).await, Some(1));
}

#[tokio::test]
async fn a_silenced_connection_stays_silent() {
    let mut pair = connect_through_relay().await;
    pair.link
        .set_directions(DirectionState::Silenced, DirectionState::Silenced);
    write(&mut pair.client, 1).await;
    assert_eq!(receive_byte(&mut pair.server).await, None);
    pair.link
        .set_directions(DirectionState::Open, DirectionState::Open);
    write(&mut pair.client, 2).await;
    assert_eq!(receive_byte(&mut pair.server).await, None);
}

#[tokio::test]
async fn a_reset_ends_connections_at_both_ends() {
    let mut pair = connect_through_relay().await;
    write(&mut pair.client, 1).await;
    assert_eq!(receive_byte(&mut pair.server).await, Some(1));
    pair.link.reset();
    for stream in [&mut pair.client, &mut pair.server] {
        let read = tokio::time::timeout(RECEIVE_TIMEOUT, stream.read_u8()).await;
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
        let received = tokio::time::timeout(RECEIVE_TIMEOUT, target.recv(&mut buffer)).await;
        received.is_ok().then(|| buffer[0])
    };
    relay::send_datagram(&source, &[1], address, &link).await;
    assert_eq!(receive().await, Some(1));
    for state in [DirectionState::Cut, DirectionState::Silenced] {
        link.set_directions(state, DirectionState::Open);
        relay::send_datagram(&source, &[2], address, &link).await;
        assert_eq!(receive().await, None);
        let reversed = link.reversed();
        relay::send_datagram(&source, &[3], address, &reversed).await;
        assert_eq!(receive().await, Some(3));
    }
    link.set_directions(DirectionState::Delayed(250), DirectionState::Open);
    relay::send_datagram(&source, &[4], address, &link).await;
    assert_eq!(receive().await, None);
    assert_eq!(receive().await, Some(4));
}
