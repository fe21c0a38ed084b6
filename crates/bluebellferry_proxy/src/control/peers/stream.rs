//! Transfers copies of store objects between VMs over TCP.

use std::net::SocketAddr;
use std::time::Duration;

use bluebellferry_membership::envelope;
use bluebellferry_membership::message;
use bluebellferry_store::wire;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use super::super::ControlEvent;
use super::super::ControlSender;

/// The maximum size of a message over TCP, in bytes.
const MAX_STREAM_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// The timeout of fetching store objects over TCP, connecting included, and of
/// answering such a request.
pub(super) const STREAM_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) async fn serve_streams(
    listener: TcpListener,
    codec: envelope::EnvelopeCodec,
    incarnation: u64,
    events: ControlSender,
) {
    while !events.is_closed() {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let (codec, events) = (codec.clone(), events.clone());
        tokio::spawn(async move {
            let serving = serve_objects(stream, &codec, incarnation, &events);
            if let Ok(Err(error)) = tokio::time::timeout(STREAM_TIMEOUT, serving).await {
                log::debug!("answering a request for store copies failed: {error}");
            }
        });
    }
}

async fn serve_objects(
    mut stream: TcpStream,
    codec: &envelope::EnvelopeCodec,
    incarnation: u64,
    events: &ControlSender,
) -> std::io::Result<()> {
    let request = receive_stream_message(&mut stream, codec).await?;
    let message::PeerMessage::ObjectRequest { keys } = request else {
        return Err(std::io::Error::other(
            "the message is not a request for store objects",
        ));
    };
    let (reply, objects) = oneshot::channel();
    events
        .send(ControlEvent::ReadStoreCopies { keys, reply })
        .map_err(std::io::Error::other)?;
    let objects = objects.await.map_err(std::io::Error::other)?;
    let to_copy = |object: wire::StoreObject| message::ObjectCopy {
        key: object.key,
        version: object.version,
        value: object.value.to_string(),
    };
    let copies = message::PeerMessage::ObjectCopies(objects.into_iter().map(to_copy).collect());
    send_stream_message(&mut stream, codec, incarnation, &copies).await
}

async fn send_stream_message(
    stream: &mut TcpStream,
    codec: &envelope::EnvelopeCodec,
    incarnation: u64,
    message: &message::PeerMessage,
) -> std::io::Result<()> {
    let bytes = codec.seal(incarnation, 0, message);
    stream.write_u32(bytes.len() as u32).await?;
    stream.write_all(&bytes).await
}

async fn receive_stream_message(
    stream: &mut TcpStream,
    codec: &envelope::EnvelopeCodec,
) -> std::io::Result<message::PeerMessage> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_STREAM_MESSAGE_BYTES {
        return Err(std::io::Error::other(
            "the message exceeds the maximum size",
        ));
    }
    let mut bytes = Vec::new();
    stream.take(length as u64).read_to_end(&mut bytes).await?;
    let opened = codec.open(&bytes).map_err(std::io::Error::other)?;
    Ok(opened.message)
}

pub(super) async fn fetch_objects(
    from: SocketAddr,
    keys: Vec<String>,
    codec: envelope::EnvelopeCodec,
    incarnation: u64,
    events: ControlSender,
) {
    let fetch = async {
        let mut stream = TcpStream::connect(from).await?;
        let request = message::PeerMessage::ObjectRequest { keys };
        send_stream_message(&mut stream, &codec, incarnation, &request).await?;
        receive_stream_message(&mut stream, &codec).await
    };
    let response = tokio::time::timeout(STREAM_TIMEOUT, fetch).await;
    let Ok(Ok(message::PeerMessage::ObjectCopies(copies))) = response else {
        return;
    };
    let to_object = |copy: message::ObjectCopy| {
        Some(wire::StoreObject {
            key: copy.key,
            version: copy.version,
            writer: String::new(),
            value: serde_json::from_str(&copy.value).ok()?,
        })
    };
    let objects = copies.into_iter().filter_map(to_object).collect();
    events.send(ControlEvent::StoreObjects(objects)).ok();
}
