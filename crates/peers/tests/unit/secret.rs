//! Guards against a keyed hash that other implementations wouldn't accept.

use super::*;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn hmac_matches_the_published_vectors() {
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

#[test]
fn a_proof_of_one_role_is_refused_for_the_other() {
    let secret = PeerSecret::new("s");
    let proof = secret.prove(LinkRole::Caller, b"a", b"b");
    assert!(secret.verify(LinkRole::Caller, b"a", b"b", &proof));
    assert!(!secret.verify(LinkRole::Listener, b"a", b"b", &proof));
    assert!(!secret.verify(LinkRole::Caller, b"ab", b"", &proof));
}
