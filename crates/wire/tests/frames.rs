//! Arbitrary bytes from a peer result in messages or a typed error, never in a panic or an endless
//! read.

use comfreymast_wire::frames::{FrameError, MAX_FRAME_BYTES, PeerFrames};
use comfreymast_wire::log::Record;
use comfreymast_wire::peer::{Heartbeat, PeerMessage, peer_message};
use futures_lite::future::block_on;
use futures_lite::io::Cursor;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message;

const SEED: u64 = 7;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns all messages in `bytes` and the error that ended the stream.
fn read_all(bytes: Vec<u8>) -> (Vec<PeerMessage>, FrameError) {
    let mut frames = PeerFrames::new(Cursor::new(bytes));
    let mut messages = Vec::new();
    loop {
        match block_on(frames.read()) {
            Ok(message) => messages.push(message),
            Err(error) => return (messages, error),
        }
    }
}

fn encode_frame(message: &PeerMessage) -> Vec<u8> {
    let body = message.encode_to_vec();
    let length = u32::try_from(body.len()).expect("a short message");
    [&length.to_be_bytes()[..], &body].concat()
}

fn heartbeat(daemon: String, sequence: u64) -> PeerMessage {
    let heartbeat = Heartbeat { daemon, sequence, ..Heartbeat::default() };
    PeerMessage { body: Some(peer_message::Body::Heartbeat(heartbeat)) }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_end_in_a_typed_error(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let _ = read_all(bytes);
    }

    #[test]
    fn complete_frames_are_read_before_a_truncated_one(
        names in prop::collection::vec("[a-z]{0,8}", 0..6),
        missing_bytes in 1..8_usize,
    ) {
        let sent: Vec<_> = names.into_iter().map(|name| heartbeat(name, 3)).collect();
        let mut bytes: Vec<u8> = sent.iter().flat_map(encode_frame).collect();
        let last_frame = encode_frame(&heartbeat("last".to_owned(), 9));
        bytes.extend(&last_frame[..last_frame.len() - missing_bytes]);
        let (read, error) = read_all(bytes);
        prop_assert_eq!(read, sent);
        prop_assert!(matches!(error, FrameError::Stream(_) | FrameError::Closed));
    }

    #[test]
    fn arbitrary_bytes_decode_or_fail(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let _ = Record::decode(&bytes[..]);
    }
}

#[test]
fn an_oversized_frame_is_rejected_by_its_length_prefix() {
    let length = u32::try_from(MAX_FRAME_BYTES + 1).expect("fits");
    let (read, error) = read_all(length.to_be_bytes().to_vec());
    assert!(read.is_empty());
    assert!(matches!(error, FrameError::Stream(_)));
}
