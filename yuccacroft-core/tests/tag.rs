//! Tests of owner tags: a tag decodes to what was encoded, and nothing else decodes.

use {
    proptest::prelude::*,
    yuccacroft_core::{
        ids::{Incarnation, Instance},
        key::Secret,
        tag::{Cipher, Owner},
    },
};

fn owner(bits: u64, incarnation: u64) -> Owner {
    Owner { instance: Instance::from_bits(bits), incarnation: Incarnation::new(incarnation) }
}

proptest! {
    /// Guards against a tag that does not preserve all bits of its owner.
    #[test]
    fn decodes_what_was_encoded(bits in 0..1u64 << 48, incarnation in 0..1u64 << 48, nonce: u32) {
        let cipher = Cipher::new(&Secret::new([1; 32]));
        let tag = cipher.encode(owner(bits, incarnation), nonce);
        prop_assert_eq!(cipher.decode(&tag), Some(owner(bits, incarnation)));
    }

    /// Guards against a caller that redirects a packet by changing one byte of its connection id.
    #[test]
    fn refuses_a_changed_tag(bits in 0..1u64 << 48, nonce: u32, at in 0usize..20, flip in 1u8..) {
        let cipher = Cipher::new(&Secret::new([1; 32]));
        let mut tag = cipher.encode(owner(bits, 5), nonce);
        tag[at] ^= flip;
        // The low bits of the first byte are part of the checksum as well.
        prop_assert_ne!(cipher.decode(&tag), Some(owner(bits, 5)));
    }

    /// Guards against a tag of one service that is valid in another service.
    #[test]
    fn refuses_a_tag_of_another_service(bits in 0..1u64 << 48, nonce: u32) {
        let own = Cipher::new(&Secret::new([1; 32]));
        let other = Cipher::new(&Secret::new([2; 32]));
        prop_assert_eq!(other.decode(&own.encode(owner(bits, 5), nonce)), None);
    }
}
