//! Parts of prompts: what a request's prompt has in common with the prompts of other requests, and what a request has in common with
//! its repeats.

use crate::backend::EndpointCall;
use http::header::AUTHORIZATION;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Maximum number of parts of one prompt that are told apart. It bounds the memory of a request.
const MAX_PARTS: usize = 32;

/// Bit that tells the keys of requests from those of parts.
const REQUEST_BIT: u64 = 1 << 63;

/// Identifies a part of a prompt, or a request as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "[u8; 8]", from = "[u8; 8]")]
pub struct PartKey(u64);

impl PartKey {
    /// Returns the key of the part with this ID: its value if it is a hexadecimal number, and otherwise its hash, of 63 bits.
    ///
    /// ```
    /// use fulmarswitch_switch::prompt::PartKey;
    /// assert_eq!(PartKey::of("5C1E07A2"), PartKey::of("5c1e07a2"));
    /// assert_eq!(PartKey::of("5c1e07a2").to_string(), "5c1e07a2");
    /// assert_ne!(PartKey::of("part"), PartKey::of("other"));
    /// ```
    #[must_use]
    pub fn of(id: &str) -> Self {
        let value = u64::from_str_radix(id, 16).unwrap_or_else(|_| xxh3_64(id.as_bytes()));
        Self(value & !REQUEST_BIT)
    }

    /// Returns the key of a request as a whole. It is the same when the caller sends the request again, at whichever host: it
    /// covers the method, the host name, the target, the caller's credentials and the body, and no other header.
    ///
    /// ```
    /// use fulmarswitch_switch::backend::EndpointCall;
    /// use fulmarswitch_switch::prompt::PartKey;
    /// use http::{HeaderMap, Method};
    /// let call = |id: &str, body: &'static str| EndpointCall {
    ///     id: id.into(),
    ///     method: Method::POST,
    ///     host: "workshop.example".into(),
    ///     target: "/ask/1".into(),
    ///     headers: HeaderMap::new(),
    ///     body: body.into(),
    ///     workspace: None,
    /// };
    /// let key = PartKey::of_request(&call("first", "code P0301"));
    /// assert_eq!(key, PartKey::of_request(&call("again", "code P0301")));
    /// assert_ne!(key, PartKey::of_request(&call("other", "code P0302")));
    /// assert!(key.is_request() && !PartKey::of("ffffffffffffffff").is_request());
    /// ```
    #[must_use]
    pub fn of_request(call: &EndpointCall) -> Self {
        let caller = call.headers.get(AUTHORIZATION);
        let fields = [
            call.method.as_str().as_bytes(),
            call.host.as_bytes(),
            call.target.as_bytes(),
            caller.map_or(&[][..], |credentials| credentials.as_bytes()),
            &call.body,
        ];
        let mut hasher = Xxh3::new();
        for field in fields {
            // Lengths keep neighbouring fields apart.
            hasher.update(&field.len().to_le_bytes());
            hasher.update(field);
        }
        Self(hasher.digest() | REQUEST_BIT)
    }

    /// Whether this is the key of a request as a whole.
    #[must_use]
    pub fn is_request(self) -> bool {
        self.0 & REQUEST_BIT != 0
    }
}

impl From<[u8; 8]> for PartKey {
    fn from(bytes: [u8; 8]) -> Self {
        Self(u64::from_le_bytes(bytes))
    }
}

impl From<PartKey> for [u8; 8] {
    fn from(key: PartKey) -> Self {
        key.0.to_le_bytes()
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// Parts of one prompt that other prompts may have as well, in the order of the prompt. The key of the request may follow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptParts(Arc<[PartKey]>);

impl PromptParts {
    /// Number of parts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// These parts, followed by the key of the request that has them.
    #[must_use]
    pub fn with_request(&self, key: PartKey) -> Self {
        let parts = self.iter().chain([key]);
        Self(parts.collect())
    }

    /// Whether the prompt has no part that others may have.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the parts.
    pub fn iter(&self) -> impl Iterator<Item = PartKey> + '_ {
        self.0.iter().copied()
    }

    /// Whether the prompt has this part.
    #[must_use]
    pub fn contains(&self, part: PartKey) -> bool {
        self.0.contains(&part)
    }
}

/// Takes the first 32 parts.
impl FromIterator<PartKey> for PromptParts {
    fn from_iter<I: IntoIterator<Item = PartKey>>(parts: I) -> Self {
        Self(parts.into_iter().take(MAX_PARTS).collect())
    }
}

impl fmt::Display for PromptParts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{part}")?;
        }
        Ok(())
    }
}
