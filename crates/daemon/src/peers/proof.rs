use comfreymast_wire::peer::Hello;
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::settings::Secret;

type FleetMac = Hmac<Sha256>;

/// Proves that the sender of a [`Hello`] knows the fleet key.
pub(crate) fn prove(key: &Secret, nonce: &[u8], hello: &Hello) -> Vec<u8> {
    mac(key, nonce, hello).finalize().into_bytes().to_vec()
}

/// True when the proof in `hello` was made with the fleet key for this nonce.
pub(crate) fn is_proven(key: &Secret, nonce: &[u8], hello: &Hello) -> bool {
    mac(key, nonce, hello).verify_slice(&hello.proof).is_ok()
}

fn mac(key: &Secret, nonce: &[u8], hello: &Hello) -> FleetMac {
    let mut mac = <FleetMac as Mac>::new_from_slice(key.expose().as_bytes())
        .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
    mac.update(nonce);
    mac.update(hello.daemon.as_bytes());
    mac.update(&hello.incarnation.to_be_bytes());
    mac
}
