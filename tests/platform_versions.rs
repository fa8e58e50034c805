//! Daemons of the version before beside these: what they send is read, and they get what they can read.

#[path = "support/site.rs"]
mod site;

use arbutusmount::{ReservationDigest, ReservationRow, RetryAsk, SnapshotReply, SnapshotRequest};
use prost::Message;
use site::plain_site;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A request for a snapshot of `op/` as the version before writes it.
const EARLIER_REQUEST: &[u8] = b"\x0a\x03op/";
/// A digest as the version before writes it: sender 7, sequence 9 and a reservation of 300 tokens by two
/// requests at target 5.
const EARLIER_DIGEST: &[u8] =
    b"\x09\x07\0\0\0\0\0\0\0\x10\x09\x1a\x0e\x09\x05\0\0\0\0\0\0\0\x10\xac\x02\x18\x02";

/// Sends a frame to a daemon and returns the frame that it replies with.
fn exchange(address: SocketAddr, frame: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("the daemon listens");
    let length = u32::try_from(frame.len()).expect("a short frame");
    stream.write_all(&length.to_be_bytes()).expect("sent");
    stream.write_all(frame).expect("sent");
    let mut length = [0; 4];
    stream.read_exact(&mut length).expect("a reply");
    let mut reply = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut reply).expect("a whole reply");
    reply
}

/// Writes a configuration that is large enough to be compressed.
fn write_large_config(site: &rig::SiteFleet) {
    let mut config = rig::sample_config(2);
    let spare: Vec<String> = (0..500)
        .map(|number| format!("spare field {number}"))
        .collect();
    config["Unused"] = serde_json::json!(spare);
    site.store.put("op/config", &config);
    let context = &site.daemons[0].state.context;
    site::until("the configuration", || {
        context
            .catalog
            .load()
            .is_some_and(|catalog| catalog.version == 2)
    });
}

/// Guards against daemons that start beside newer ones while the store is away and can't read their
/// snapshots.
#[test]
fn earlier_daemon_gets_a_snapshot_that_is_not_compressed() {
    let site = plain_site();
    write_large_config(&site);
    let peers = site.daemons[0].state.context.settings.listen.peers;

    let reply = exchange(peers, EARLIER_REQUEST);

    let reply = SnapshotReply::decode(reply.as_slice()).expect("a reply");
    assert!(reply.complete && reply.packed.is_none());
    assert_eq!(reply.items.len(), 1);
    assert!(reply.items[0].value.len() > 4_096);
}

/// The same snapshot for a daemon that can read a compressed one.
#[test]
fn daemon_of_this_version_gets_a_compressed_snapshot() {
    let site = plain_site();
    write_large_config(&site);
    let peers = site.daemons[0].state.context.settings.listen.peers;
    let request = SnapshotRequest {
        prefix: "op/".to_owned(),
        reads_packed: true,
        ..SnapshotRequest::default()
    };

    let packed = exchange(peers, &request.encode_to_vec());

    let plain = SnapshotReply::decode(exchange(peers, EARLIER_REQUEST).as_slice());
    let reply = SnapshotReply::decode(packed.as_slice()).expect("a reply");
    assert!(reply.packed.is_some());
    assert_eq!(
        reply.into_unpacked().expect("sound"),
        plain.expect("a reply")
    );
}

/// Guards against a change of the fields that both versions know, in either direction.
#[test]
fn fields_of_the_version_before_keep_their_bytes() {
    let request = SnapshotRequest {
        prefix: "op/".to_owned(),
        ..SnapshotRequest::default()
    };
    let digest = ReservationDigest {
        sender: 7,
        sequence: 9,
        rows: vec![ReservationRow {
            target: 5,
            tokens: 300,
            requests: 2,
            ..ReservationRow::default()
        }],
        ..ReservationDigest::default()
    };

    assert_eq!(request.encode_to_vec(), EARLIER_REQUEST);
    assert_eq!(digest.encode_to_vec(), EARLIER_DIGEST);
    assert_eq!(ReservationDigest::decode(EARLIER_DIGEST), Ok(digest));
}

/// The version before takes a question for retries for a datagram that announces nothing, as its sequence
/// is 0: new fields come after those that it knows.
#[test]
fn question_for_retries_announces_nothing_to_earlier_daemons() {
    let question = ReservationDigest {
        retry_ask: Some(RetryAsk {
            number: 1,
            service: "desk".to_owned(),
            wanted: 1,
        }),
        ..ReservationDigest::default()
    };

    let bytes = question.encode_to_vec();

    // Field 10 with a length, after the sender, which is always 0 here and left out.
    assert_eq!(bytes[0], 10 << 3 | 2);
    let known = ReservationDigest::decode(&bytes[..0]).expect("an empty digest");
    assert_eq!(
        (question.sender, question.sequence),
        (known.sender, known.sequence)
    );
}
