//! Tests of the message authentication code.

use super::*;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

// Guards against an HMAC that differs from other implementations.
#[test]
fn hmac_matches_the_test_vectors_of_the_rfc() {
    // RFC 4231, test cases 2 and 6 (a key longer than a block).
    assert_eq!(
        hex(&hmac(b"Jefe", &[b"what do ya want ", b"for nothing?"])),
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843"
    );
    assert_eq!(
        hex(&hmac(&[0xaa; 131], &[b"Test Using Larger Than Block-Size Key - Hash Key First"])),
        "60e431591ee0b67f0d8a26aacbf5b77f8e0bc6213728c5140546040f0ee37f54"
    );
}

// Guards against a MAC that can be reflected to its sender, or that is valid for other hello frames.
#[test]
fn mac_is_valid_only_for_its_role_and_frames() {
    let secret = PeerSecret::new("s");
    let mac = secret.compute_mac(LinkRole::Caller, b"a", b"b");
    assert!(secret.verify_mac(LinkRole::Caller, b"a", b"b", &mac));
    assert!(!secret.verify_mac(LinkRole::Listener, b"a", b"b", &mac));
    assert!(!secret.verify_mac(LinkRole::Caller, b"ab", b"", &mac));
}
