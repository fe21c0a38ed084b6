//! Tests of the link faults that relays inject into connections and datagrams.

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

/// How long a test waits for data; longer than the loopback interface takes and shorter
/// than every delay that a test sets on a link.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(150);

struct RelayedPair {
    link: relay::RelayLink,
    client: TcpStream,
    server: TcpStream,
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the listener binds");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    (listener, address)
}

async fn connect_through_relay() -> RelayedPair {
    let (target, target_address) = listen().await;
    let (listener, address) = listen().await;
    let link = relay::RelayLink::default();
    let target_link = link.clone();
    let select_target = move |_| Some((target_address, target_link.clone()));
    tokio::spawn(relay::relay_connections(listener, select_target));
    let client = TcpStream::connect(address)
        .await
        .expect("the relay accepts the connection");
    let (server, _) = target
        .accept()
        .await
        .expect("the relay connects to its target");
    RelayedPair {
        link,
        client,
        server,
    }
}

/// Returns the next byte, or `None` if none arrives within the timeout.
async fn receive_byte(stream: &mut TcpStream) -> Option<u8> {
    let read = tokio::time::timeout(RECEIVE_TIMEOUT, stream.read_u8()).await;
    read.ok()
        .map(|read| read.expect("the connection stays open"))
}

async fn write(stream: &mut TcpStream, byte: u8) {
    stream
        .write_u8(byte)
        .await
        .expect("the connection stays open");
}

#[tokio::test]
async fn an_open_link_forwards_both_directions_and_end_of_stream() {
    let mut pair = connect_through_relay().await;
    write(&mut pair.client, 1).await;
    assert_eq!(receive_byte(&mut pair.server).await, Some(1));
    write(&mut pair.server, 2).await;
    assert_eq!(receive_byte(&mut pair.client).await, Some(2));
    pair.client
        .shutdown()
        .await
        .expect("the connection shuts down");
    let read = pair.server.read(&mut [0; 8]).await;
    assert_eq!(read.expect("the connection stays open"), 0);
}

#[tokio::test]
async fn a_delayed_direction_delivers_later() {
    let mut pair = connect_through_relay().await;
    pair.link
        .set_directions(DirectionState::Delayed(300), DirectionState::Open);
    let sent = Instant::now();
    write(&mut pair.client, 1).await;
    assert_eq!(pair.server.read_u8().await.expect("the byte arrives"), 1);
    assert!(sent.elapsed() >= Duration::from_millis(300));
    write(&mut pair.server, 2).await;
    assert_eq!(receive_byte(&mut pair.client).await, Some(2));
}

#[tokio::test]
async fn a_cut_direction_holds_bytes_back_until_it_is_reopened() {
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
async fn silenced_open_connections_stay_open_and_forward_nothing() {
    let mut pair = connect_through_relay().await;
    pair.link.silence_open_connections();
    write(&mut pair.client, 1).await;
    assert_eq!(receive_byte(&mut pair.server).await, None);
    write(&mut pair.server, 2).await;
    assert_eq!(receive_byte(&mut pair.client).await, None);
}

#[tokio::test]
async fn a_silenced_connection_never_forwards_again() {
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
async fn a_reset_reaches_both_ends_of_a_connection() {
    let mut pair = connect_through_relay().await;
    write(&mut pair.client, 1).await;
    assert_eq!(receive_byte(&mut pair.server).await, Some(1));
    pair.link.reset();
    for stream in [&mut pair.client, &mut pair.server] {
        let read = tokio::time::timeout(RECEIVE_TIMEOUT, stream.read_u8()).await;
        let error = read
            .expect("the reset arrives within the timeout")
            .expect_err("the connection is reset");
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    }
}

#[tokio::test]
async fn datagrams_are_delayed_or_dropped_with_their_direction() {
    let bind = async || {
        Arc::new(
            UdpSocket::bind("127.0.0.1:0")
                .await
                .expect("the socket binds"),
        )
    };
    let (source, target) = (bind().await, bind().await);
    let address = target.local_addr().expect("a bound socket has an address");
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
