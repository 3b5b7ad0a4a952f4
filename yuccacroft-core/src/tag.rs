//! Owner tags: connection ids that identify the agent which owns a flow.
//!
//! A tag is encrypted and authenticated, so that a caller can neither read the address of its
//! upstream nor direct a packet at another one. See `docs/design.md`, section 3.

use {
    crate::{
        ids::{Incarnation, Instance},
        key::Secret,
    },
    aes::{
        Aes128,
        cipher::{BlockDecrypt, BlockEncrypt, KeyInit},
    },
    siphasher::sip::SipHasher24,
    std::{
        fmt::{Debug, Formatter},
        hash::Hasher,
    },
};

/// Length of a tag in bytes: the maximum length of a connection id in QUIC version 1 (RFC 9000,
/// section 17.2).
pub const TAG_BYTES: usize = 20;

const CIPHERTEXT_START: usize = 1;
const CHECKSUM_START: usize = 17;
/// Format version in the top two bits of the first byte. It allows a later change of the key or the
/// layout.
const FORMAT: u8 = 0b0100_0000;
const FORMAT_MASK: u8 = 0b1100_0000;

/// The owner of a flow, as encoded in a tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The address of the agent that owns the flow.
    pub instance: Instance,
    /// The incarnation of the agent that accepted the flow.
    pub incarnation: Incarnation,
}

/// Encodes and decodes the tags of one service.
#[derive(Clone)]
pub struct Cipher {
    block: Aes128,
    checksum_hasher: SipHasher24,
}

impl Cipher {
    /// Creates the cipher from the tag key of a service.
    pub fn new(secret: &Secret) -> Self {
        let (block, checksum_key) = secret.halves();
        Self {
            block: Aes128::new(&block.into()),
            checksum_hasher: SipHasher24::new_with_key(&checksum_key),
        }
    }

    /// Encodes a tag. The nonce must not repeat within one incarnation of the owner.
    pub fn encode(&self, owner: Owner, nonce: u32) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        tag[0] = FORMAT | (nonce as u8 & !FORMAT_MASK);
        tag[1..7].copy_from_slice(&owner.instance.to_bits().to_be_bytes()[2..]);
        tag[7..13].copy_from_slice(&owner.incarnation.get().to_be_bytes()[2..]);
        tag[13..17].copy_from_slice(&nonce.to_be_bytes());
        let mut block = [0; 16];
        block.copy_from_slice(&tag[CIPHERTEXT_START..CHECKSUM_START]);
        let mut block = block.into();
        self.block.encrypt_block(&mut block);
        tag[CIPHERTEXT_START..CHECKSUM_START].copy_from_slice(&block);
        let checksum = self.checksum(&tag);
        tag[CHECKSUM_START..].copy_from_slice(&checksum);
        tag
    }

    /// Decodes a connection id. Returns `None` if it is not a tag of this service.
    pub fn decode(&self, id: &[u8]) -> Option<Owner> {
        self.decode_with_nonce(id).map(|(owner, _)| owner)
    }

    /// Decodes a connection id into the owner and the nonce that the tag was encoded with. Returns
    /// `None` if it is not a tag of this service.
    pub fn decode_with_nonce(&self, id: &[u8]) -> Option<(Owner, u32)> {
        let tag: &[u8; TAG_BYTES] = id.try_into().ok()?;
        if tag[0] & FORMAT_MASK != FORMAT || self.checksum(tag) != tag[CHECKSUM_START..] {
            return None;
        }
        let mut block = [0; 16];
        block.copy_from_slice(&tag[CIPHERTEXT_START..CHECKSUM_START]);
        let mut block = block.into();
        self.block.decrypt_block(&mut block);
        let owner = Owner {
            instance: Instance::from_bits(read_48(&block[0..6])),
            incarnation: Incarnation::new(read_48(&block[6..12])),
        };
        let nonce = block[12..16].iter().fold(0, |nonce, &byte| nonce << 8 | u32::from(byte));
        Some((owner, nonce))
    }

    fn checksum(&self, tag: &[u8; TAG_BYTES]) -> [u8; TAG_BYTES - CHECKSUM_START] {
        let mut hasher = self.checksum_hasher;
        hasher.write(&tag[..CHECKSUM_START]);
        let hash = hasher.finish().to_be_bytes();
        [hash[0], hash[1], hash[2]]
    }
}

impl Debug for Cipher {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("Cipher(..)")
    }
}

fn read_48(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |value, &byte| value << 8 | u64::from(byte))
}
