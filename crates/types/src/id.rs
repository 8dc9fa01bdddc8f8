//! Identifiers. Names are shared text; numbers are uuids of version 7.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::hash;
use crate::unit::Time;

/// Declares names that differ only in what they name.
macro_rules! name {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Takes a text as the name.
            pub fn new(text: &str) -> $name {
                $name(text.into())
            }

            /// The name as text.
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

name! {
    /// The name of an entry host.
    Host;
    /// The name of a data centre.
    DataCentre;
    /// The name of a region, which holds data centres.
    Region;
    /// The name of an endpoint: an engine's worker or a plain service.
    Endpoint;
    /// The name of a customer.
    Customer;
    /// The name of a class of work.
    Class;
    /// The name of a model or a service, which is what requests are for.
    Target;
}

impl Customer {
    /// The number that stands for the customer inside a ticket and a limit table.
    pub fn to_number(&self) -> u64 {
        hash::of(self.as_str().as_bytes())
    }
}

/// Declares ids that are 128 bits and read as a uuid.
macro_rules! number {
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

number! {
    /// One request as one entry host received it.
    Request;
    /// One run of one process on an entry host. A replaced or restarted
    /// process is another incarnation and remembers nothing of the last.
    Incarnation;
}

/// Makes a version 7 uuid number from a time and 80 random bits.
pub fn new_v7(now: Time, random: u128) -> u128 {
    let millis = now.0 / 1_000;
    let bytes = random.to_le_bytes();
    let mut ten = [0; 10];
    ten.copy_from_slice(&bytes[..10]);
    uuid::Builder::from_unix_timestamp_millis(millis, &ten)
        .into_uuid()
        .as_u128()
}

/// The time at which a version 7 uuid says it was made, or none for another text.
pub fn v7_timestamp_opt(text: &str) -> Option<Time> {
    let id = Uuid::parse_str(text).ok()?;
    if id.get_version_num() != 7 {
        return None;
    }
    let (secs, nanos) = id.get_timestamp()?.to_unix();
    Some(Time(secs * 1_000_000 + u64::from(nanos) / 1_000))
}
