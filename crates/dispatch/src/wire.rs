//! How messages between nodes are written and read.
//!
//! Each message has the layout that every build reads, and behind it what later builds
//! add: an addition with lists of what endpoints said behind it, or what a configuration
//! binds to regions. A build reads of it what it knows, takes the usual for what is
//! missing, and leaves the rest. Nothing that stands before it ever changes
//! (docs/PROTOCOL.md; test `what_is_written_is_kept`).

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::edition::Era;
use crate::message::Frame;
use crate::message::Message;
use crate::message::Pull;
use crate::protocol;
use crate::protocol::Protocol;

/// What stands behind a status, a question for documents, and a list of endpoints. More
/// fields may only be added at its end, each in an addition of its own that may be
/// missing.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Extension {
    /// What the node speaks that wrote it.
    protocol: Protocol,
    /// The era of the list of endpoints that the message speaks of.
    era: Era,
}

impl Extension {
    /// Of a message that has none.
    const NONE: Extension = Extension {
        protocol: Protocol::FIRST,
        era: Era(0),
    };
}

/// Writes a datagram: the layout, the message and its addition.
///
/// # Errors
/// Only where the codec fails.
pub fn to_datagram(message: &Message) -> postcard::Result<Vec<u8>> {
    let bytes = postcard::to_extend(message, vec![protocol::LAYOUT])?;
    let status = match message {
        Message::Status(status) => status,
        Message::Lease(request) => return postcard::to_extend(&request.avoided, bytes),
        _ => return Ok(bytes),
    };
    let extension = Extension {
        protocol: status.protocol,
        era: status.endpoints.era,
    };
    let bytes = postcard::to_extend(&extension, bytes)?;
    let bytes = postcard::to_extend(&status.rate_limits, bytes)?;
    postcard::to_extend(&status.notices, bytes)
}

/// Reads a datagram; nothing for another layout or for what is no message.
pub fn try_from_datagram(bytes: &[u8]) -> Option<Message> {
    let (layout, rest) = bytes.split_first()?;
    if *layout != protocol::LAYOUT {
        return None;
    }
    let (mut message, rest) = postcard::take_from_bytes(rest).ok()?;
    match &mut message {
        Message::Lease(request) => request.avoided = take_list(rest).ok()?.0,
        Message::Status(status) => {
            let (extension, rest) = take_extension(rest).ok()?;
            status.protocol = extension.protocol;
            status.endpoints.era = extension.era;
            let (rate_limits, rest) = take_list(rest).ok()?;
            status.rate_limits = rate_limits;
            status.notices = take_list(rest).ok()?.0;
        }
        _ => {}
    }
    Some(message)
}

/// Writes a question for documents.
///
/// # Errors
/// Only where the codec fails.
pub fn pull_to_bytes(pull: &Pull) -> postcard::Result<Vec<u8>> {
    let extension = Extension {
        protocol: pull.protocol,
        era: pull.known.endpoints.era,
    };
    postcard::to_extend(&extension, postcard::to_extend(pull, Vec::new())?)
}

/// Reads a question for documents.
///
/// # Errors
/// Where the bytes are none.
pub fn pull_from_bytes(bytes: &[u8]) -> postcard::Result<Pull> {
    let (mut pull, rest): (Pull, _) = postcard::take_from_bytes(bytes)?;
    let (extension, _) = take_extension(rest)?;
    pull.protocol = extension.protocol;
    pull.known.endpoints.era = extension.era;
    Ok(pull)
}

/// Writes a piece of what a node gives to another.
///
/// # Errors
/// Only where the codec fails.
pub fn frame_to_bytes(frame: &Frame) -> postcard::Result<Vec<u8>> {
    let bytes = postcard::to_extend(frame, Vec::new())?;
    match frame {
        Frame::Endpoints(difference) => {
            let extension = Extension {
                protocol: Protocol::CURRENT,
                era: difference.era,
            };
            postcard::to_extend(&extension, bytes)
        }
        Frame::Manifest(manifest) => postcard::to_extend(&manifest.restrictions, bytes),
        Frame::Busy | Frame::Part(_) => Ok(bytes),
    }
}

/// Reads a piece of what another node gives.
///
/// # Errors
/// Where the bytes are none.
pub fn frame_from_bytes(bytes: &[u8]) -> postcard::Result<Frame> {
    let (mut frame, rest) = postcard::take_from_bytes(bytes)?;
    match &mut frame {
        Frame::Endpoints(difference) => difference.era = take_extension(rest)?.0.era,
        Frame::Manifest(manifest) if !rest.is_empty() => {
            manifest.restrictions = postcard::from_bytes(rest)?
        }
        Frame::Manifest(_) | Frame::Busy | Frame::Part(_) => {}
    }
    Ok(frame)
}

/// Reads the addition behind a message, and gives what stands behind it.
fn take_extension(rest: &[u8]) -> postcard::Result<(Extension, &[u8])> {
    match rest {
        [] => Ok((Extension::NONE, rest)),
        rest => postcard::take_from_bytes(rest),
    }
}

/// Reads a list behind a question for a slot, or behind the addition of a status, which may
/// be missing, and gives what stands behind it.
fn take_list<T: DeserializeOwned>(rest: &[u8]) -> postcard::Result<(Vec<T>, &[u8])> {
    match rest {
        [] => Ok((Vec::new(), rest)),
        rest => postcard::take_from_bytes(rest),
    }
}
