//! Prints the heartbeat traffic of a daemon for several fleet sizes.

use comfreymast_wire::peer::{Heartbeat, PeerMessage, peer_message};
use prost::Message;

const HEARTBEATS_PER_S: usize = 4;
const FRAME_HEADER_BYTES: usize = 4;
/// IPv4 and TCP headers with timestamps.
const PACKET_HEADER_BYTES: usize = 52;

fn main() {
    let heartbeat = Heartbeat {
        daemon: "dc11-entry-vm-07".to_owned(),
        incarnation: 1_750_000_000_000,
        sequence: 1_000_000,
        next_offset: 100_000_000,
        echo_incarnation: 1_750_000_000_000,
        echo_sequence: 1_000_000,
        current: true,
        ..Heartbeat::default()
    };
    let message = PeerMessage { body: Some(peer_message::Body::Heartbeat(heartbeat)) };
    let frame_bytes = message.encoded_len() + FRAME_HEADER_BYTES;
    println!("frame_bytes {frame_bytes}");
    for (daemons, links) in [(9, 8), (32, 31), (320, 17), (320, 24), (320, 319)] {
        let sent = links * HEARTBEATS_PER_S * frame_bytes;
        let packets = links * HEARTBEATS_PER_S * PACKET_HEADER_BYTES;
        println!(
            "{daemons} daemons, {links} links: {sent} bytes/s sent and as many received, \
            {packets} more of packet headers each way"
        );
    }
}
