//! Secrets of keys: their form, their digests and where callers put them.

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

/// SHA-256 digest of a key's secret.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Digests a secret.
    pub fn of(secret: &str) -> Digest {
        Digest(Sha256::digest(secret.as_bytes()).into())
    }

    /// Parses 64 hexadecimal digits.
    pub fn parse(hex: &str) -> Option<Digest> {
        let digits = hex.as_bytes();
        if digits.len() != 64 {
            return None;
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = nibble(pair[0])? << 4 | nibble(pair[1])?;
        }
        Some(Digest(bytes))
    }

    /// The digest as 64 hexadecimal digits.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &Digest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

fn nibble(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}

/// Scans an `Authorization` value and returns the bearer token.
pub fn bearer(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}

/// Start of every secret that the administration interface issues.
pub const SECRET_PREFIX: &str = "almk_";

/// Digits after the prefix of a secret.
pub const SECRET_DIGITS: usize = 43;

/// Start of the first text in the form of a secret.
pub fn find(bytes: &[u8]) -> Option<usize> {
    let prefix = SECRET_PREFIX.as_bytes();
    let is_digit = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    bytes.windows(prefix.len() + SECRET_DIGITS).position(|window| {
        window.strip_prefix(prefix).is_some_and(|digits| digits.iter().all(is_digit))
    })
}
