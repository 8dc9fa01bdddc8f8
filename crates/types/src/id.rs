//! Identifiers: names as shared text, and 128-bit ids as UUIDs of version 7.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::hash;
use crate::unit::Time;

/// Declares name types, which differ only in what they identify.
macro_rules! define_names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from a text.
            pub fn new(text: &str) -> $name {
                $name(text.into())
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::convert::Infallible;

            fn from_str(text: &str) -> Result<$name, Self::Err> {
                Ok($name::new(text))
            }
        }
    )*};
}

define_names! {
    /// The name of an entry host.
    Host;
    /// The name of a data centre.
    DataCentre;
    /// The name of a region, a group of data centres.
    Region;
    /// The name of an endpoint: an engine's worker or a plain service.
    Endpoint;
    /// The version of the software that an endpoint runs. Only equal ones are compatible.
    Software;
    /// The name of a customer.
    Customer;
    /// The name of a class of work.
    Class;
    /// The name of a model or a service that requests are addressed to.
    Target;
}

impl Customer {
    /// Returns the hash of the name that identifies the customer in tickets and limit tables.
    pub fn to_number(&self) -> u64 {
        hash::of(self.as_str().as_bytes())
    }
}

/// Declares 128-bit ids whose text form is a UUID.
macro_rules! define_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", Uuid::from_u128(self.0).simple())
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }

        impl FromStr for $name {
            type Err = uuid::Error;

            fn from_str(text: &str) -> Result<$name, uuid::Error> {
                Uuid::parse_str(text).map(|id| $name(id.as_u128()))
            }
        }
    )*};
}

define_ids! {
    /// The id of one request as received by one entry host.
    Request;
    /// The id of one run of a process on an entry host. A restarted or replaced process
    /// has a new incarnation and none of the state of the previous one.
    Incarnation;
}

/// Creates a version 7 UUID from a time and the lower 80 bits of `random`.
pub fn new_v7(now: Time, random: u128) -> u128 {
    let millis = now.0 / 1_000;
    let bytes = random.to_le_bytes();
    let mut random_bytes = [0; 10];
    random_bytes.copy_from_slice(&bytes[..10]);
    uuid::Builder::from_unix_timestamp_millis(millis, &random_bytes)
        .into_uuid()
        .as_u128()
}

/// Returns the creation time in a version 7 UUID, or `None` for any other text.
pub fn v7_timestamp_opt(text: &str) -> Option<Time> {
    let id = Uuid::parse_str(text).ok()?;
    if id.get_version_num() != 7 {
        return None;
    }
    let (secs, nanos) = id.get_timestamp()?.to_unix();
    Some(Time(secs * 1_000_000 + u64::from(nanos) / 1_000))
}
