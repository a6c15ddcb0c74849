//! Signatures (HMAC-SHA-256) and encryption (AES-256 in output feedback mode) of packets.

use super::encode::write_part;
use super::{part_type, PacketError, MAX_NAME_BYTES, PART_HEADER_BYTES};
use crate::settings::{Security, User};
use aes::cipher::{KeyIvInit, StreamCipher};
use hmac::{Hmac, Mac};
use sha1::Sha1;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

pub(super) const IV_BYTES: usize = 16;
pub(super) const MAC_BYTES: usize = 32;
pub(super) const CHECKSUM_BYTES: usize = 20;
/// Size of the length before a user's name in an encrypted part.
const USER_LENGTH_BYTES: usize = 2;

/// 256-bit AES in output feedback mode.
type Aes256Ofb = ofb::Ofb<aes::Aes256>;

/// The random initialization vector of an encrypted packet; it must not be reused with the same key.
pub type InitializationVector = [u8; IV_BYTES];

/// The accepted keys, by user; several while keys are rotated.
pub(super) type UserKeys = BTreeMap<String, Vec<String>>;

/// Returns the number of bytes that a signature or encryption adds to a packet.
pub(super) fn overhead(security: &Security) -> usize {
    match security {
        Security::None => 0,
        Security::Sign(user) => PART_HEADER_BYTES + MAC_BYTES + user.user.len(),
        Security::Encrypt(user) => {
            PART_HEADER_BYTES + USER_LENGTH_BYTES + user.user.len() + IV_BYTES + CHECKSUM_BYTES
        }
    }
}

/// Prepends a signature to the parts: HMAC-SHA-256(key, user || parts), then the user's name.
pub(super) fn sign(parts: &[u8], user: &User) -> Vec<u8> {
    let mut content = authentication_code(&user.user, &user.key, parts).finalize().into_bytes().to_vec();
    content.extend(user.user.as_bytes());
    let mut packet = Vec::with_capacity(PART_HEADER_BYTES + content.len() + parts.len());
    write_part(&mut packet, part_type::SIGNATURE, &content);
    packet.extend(parts);
    packet
}

/// Encrypts the parts. The encrypted part holds the length of the user's name, the name and the
/// initialization vector in plain, then the SHA-1 checksum of the parts and the parts encrypted.
pub(super) fn encrypt(parts: &[u8], user: &User, iv: InitializationVector) -> Vec<u8> {
    let mut sealed = Sha1::digest(parts).to_vec();
    sealed.extend(parts);
    cipher(&user.key, &iv).apply_keystream(&mut sealed);
    let mut content = (user.user.len() as u16).to_be_bytes().to_vec();
    content.extend(user.user.as_bytes());
    content.extend(iv);
    content.extend(sealed);
    let mut packet = Vec::with_capacity(PART_HEADER_BYTES + content.len());
    write_part(&mut packet, part_type::ENCRYPTION, &content);
    packet
}

/// Verifies the content of a signature, which is the first part of a packet, against the parts after it.
pub(super) fn verify(content: &[u8], signed: &[u8], keys: &UserKeys) -> Result<(), PacketError> {
    let (code, user) = content.split_at_checked(MAC_BYTES).ok_or(FIRST_PART_INVALID)?;
    let UserWithKeys { user, keys } = find_user(user, keys)?;
    let is_authentic =
        keys.iter().any(|key| authentication_code(&user, key, signed).verify_slice(code).is_ok());
    if is_authentic {
        Ok(())
    } else {
        Err(PacketError::NotAuthentic { user })
    }
}

/// Decrypts the content of an encrypted part, which is the only part of a packet, and returns the parts in
/// it.
pub(super) fn decrypt(content: &[u8], keys: &UserKeys) -> Result<Vec<u8>, PacketError> {
    let (length, unread) = content.split_at_checked(USER_LENGTH_BYTES).ok_or(FIRST_PART_INVALID)?;
    let length = usize::from(u16::from_be_bytes([length[0], length[1]]));
    let (user, unread) = unread.split_at_checked(length).ok_or(FIRST_PART_INVALID)?;
    let UserWithKeys { user, keys } = find_user(user, keys)?;
    let (iv, sealed) = unread.split_first_chunk::<IV_BYTES>().ok_or(FIRST_PART_INVALID)?;
    for key in keys {
        let mut opened = sealed.to_vec();
        cipher(key, iv).apply_keystream(&mut opened);
        let Some((checksum, parts)) = opened.split_at_checked(CHECKSUM_BYTES) else { continue };
        if Sha1::digest(parts).as_slice() == checksum {
            return Ok(parts.to_vec());
        }
    }
    Err(PacketError::NotAuthentic { user })
}

/// Error of a malformed signature or encrypted part, which are always at the beginning of a packet.
const FIRST_PART_INVALID: PacketError = PacketError::InvalidContent { offset: 0 };

struct UserWithKeys<'a> {
    user: String,
    keys: &'a [String],
}

fn find_user<'a>(name: &[u8], keys: &'a UserKeys) -> Result<UserWithKeys<'a>, PacketError> {
    let user = String::from_utf8_lossy(name).into_owned();
    match keys.get(&user) {
        Some(keys) if !keys.is_empty() => Ok(UserWithKeys { user, keys }),
        _ => Err(PacketError::UnknownUser { user: user.chars().take(MAX_NAME_BYTES).collect() }),
    }
}

/// Returns HMAC-SHA-256(key, user || parts).
fn authentication_code(user: &str, key: &str, parts: &[u8]) -> Hmac<Sha256> {
    let mut code =
        <Hmac<Sha256> as Mac>::new_from_slice(key.as_bytes()).expect("HMAC takes keys of any length");
    code.update(user.as_bytes());
    code.update(parts);
    code
}

/// Returns the cipher of a packet, whose key is the SHA-256 digest of the user's key.
fn cipher(key: &str, iv: &InitializationVector) -> Aes256Ofb {
    Aes256Ofb::new(&Sha256::digest(key.as_bytes()), iv.into())
}
