//! Owner tags: what was encoded comes back, and nothing else is taken for a tag.

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
    /// Guards against a tag that loses a part of its owner.
    #[test]
    fn decodes_what_was_encoded(bits in 0..1u64 << 48, life in 0..1u64 << 48, nonce: u32) {
        let cipher = Cipher::new(&Secret::new([1; 32]));
        let tag = cipher.encode(owner(bits, life), nonce);
        prop_assert_eq!(cipher.decode(&tag), Some(owner(bits, life)));
    }

    /// Guards against a caller that aims a packet by editing one byte of its connection id.
    #[test]
    fn refuses_a_changed_tag(bits in 0..1u64 << 48, nonce: u32, at in 0usize..20, flip in 1u8..) {
        let cipher = Cipher::new(&Secret::new([1; 32]));
        let mut tag = cipher.encode(owner(bits, 5), nonce);
        tag[at] ^= flip;
        // The low bits of the first byte are part of the checksum as well.
        prop_assert_ne!(cipher.decode(&tag), Some(owner(bits, 5)));
    }

    /// Guards against a tag of one service that is valid at another.
    #[test]
    fn refuses_a_tag_of_another_service(bits in 0..1u64 << 48, nonce: u32) {
        let mine = Cipher::new(&Secret::new([1; 32]));
        let other = Cipher::new(&Secret::new([2; 32]));
        prop_assert_eq!(other.decode(&mine.encode(owner(bits, 5), nonce)), None);
    }
}
