//! Encoding and decoding of messages between nodes.
//!
//! A message starts with the base layout, which every build reads. Later builds append to it:
//! an extension, lists of announcements about endpoints, or the region restrictions of a
//! configuration. A build reads the appended parts that it knows, uses defaults for those that
//! are missing, and ignores the rest. The bytes before an appended part never change
//! (docs/PROTOCOL.md; test `the_encoding_does_not_change`).

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::edition::Era;
use crate::message::Frame;
use crate::message::Message;
use crate::message::Pull;
use crate::protocol;
use crate::protocol::Protocol;

/// The extension that follows a status, a [`Pull`] and a list of endpoints. Its fields are
/// fixed; later additions go after it, each separate and optional.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Extension {
    /// The protocol of the node that wrote the message.
    protocol: Protocol,
    /// The era of the list of endpoints that the message refers to.
    era: Era,
}

impl Extension {
    /// The extension assumed for a message without one.
    const NONE: Extension = Extension {
        protocol: Protocol::FIRST,
        era: Era(0),
    };
}

/// Encodes a datagram: the layout version, the message and what is appended to it.
///
/// # Errors
/// Returns an error if serialisation fails.
pub fn to_datagram(message: &Message) -> postcard::Result<Vec<u8>> {
    let bytes = postcard::to_extend(message, vec![protocol::LAYOUT])?;
    let status = match message {
        Message::Status(status) => status,
        Message::Lease(request) => {
            let bytes = postcard::to_extend(&request.avoided, bytes)?;
            if request.details.is_empty() && request.software.is_none() {
                return Ok(bytes);
            }
            let bytes = postcard::to_extend(&request.details, bytes)?;
            return match &request.software {
                Some(software) => postcard::to_extend(software, bytes),
                None => Ok(bytes),
            };
        }
        Message::Report(report) => {
            return match &report.load {
                Some(load) => postcard::to_extend(load, bytes),
                None => Ok(bytes),
            };
        }
        _ => return Ok(bytes),
    };
    let extension = Extension {
        protocol: status.protocol,
        era: status.endpoints.era,
    };
    let bytes = postcard::to_extend(&extension, bytes)?;
    let bytes = postcard::to_extend(&status.rate_limits, bytes)?;
    let bytes = postcard::to_extend(&status.notices, bytes)?;
    let writes_tolerances = !status.tolerances.is_empty() || status.is_late;
    if status.lost_links.is_empty() && status.uptime.is_none() && !writes_tolerances {
        return Ok(bytes);
    }
    let bytes = postcard::to_extend(&(&status.lost_links, status.uptime), bytes)?;
    if !writes_tolerances {
        return Ok(bytes);
    }
    let bytes = postcard::to_extend(&status.tolerances, bytes)?;
    match status.is_late {
        true => postcard::to_extend(&true, bytes),
        false => Ok(bytes),
    }
}

/// Decodes a datagram. Returns `None` for another layout version or invalid bytes.
pub fn try_from_datagram(bytes: &[u8]) -> Option<Message> {
    let (layout, rest) = bytes.split_first()?;
    if *layout != protocol::LAYOUT {
        return None;
    }
    let (mut message, rest) = postcard::take_from_bytes(rest).ok()?;
    match &mut message {
        Message::Lease(request) => {
            let (avoided, rest) = take_list(rest).ok()?;
            request.avoided = avoided;
            if !rest.is_empty() {
                let (details, rest) = postcard::take_from_bytes(rest).ok()?;
                request.details = details;
                if !rest.is_empty() {
                    request.software = Some(postcard::take_from_bytes(rest).ok()?.0);
                }
            }
        }
        Message::Report(report) if !rest.is_empty() => {
            report.load = Some(postcard::take_from_bytes(rest).ok()?.0);
        }
        Message::Status(status) => {
            let (extension, rest) = take_extension(rest).ok()?;
            status.protocol = extension.protocol;
            status.endpoints.era = extension.era;
            let (rate_limits, rest) = take_list(rest).ok()?;
            status.rate_limits = rate_limits;
            let (notices, rest) = take_list(rest).ok()?;
            status.notices = notices;
            if !rest.is_empty() {
                let ((lost_links, uptime), rest) = postcard::take_from_bytes(rest).ok()?;
                (status.lost_links, status.uptime) = (lost_links, uptime);
                let (tolerances, rest) = take_list(rest).ok()?;
                status.tolerances = tolerances;
                if !rest.is_empty() {
                    status.is_late = postcard::take_from_bytes(rest).ok()?.0;
                }
            }
        }
        _ => {}
    }
    Some(message)
}

/// Encodes a request for documents.
///
/// # Errors
/// Returns an error if serialisation fails.
pub fn pull_to_bytes(pull: &Pull) -> postcard::Result<Vec<u8>> {
    let extension = Extension {
        protocol: pull.protocol,
        era: pull.known.endpoints.era,
    };
    postcard::to_extend(&extension, postcard::to_extend(pull, Vec::new())?)
}

/// Decodes a request for documents.
///
/// # Errors
/// Returns an error if the bytes are not a valid request.
pub fn pull_from_bytes(bytes: &[u8]) -> postcard::Result<Pull> {
    let (mut pull, rest): (Pull, _) = postcard::take_from_bytes(bytes)?;
    let (extension, _) = take_extension(rest)?;
    pull.protocol = extension.protocol;
    pull.known.endpoints.era = extension.era;
    Ok(pull)
}

/// Encodes one frame of a snapshot.
///
/// # Errors
/// Returns an error if serialisation fails.
pub fn frame_to_bytes(frame: &Frame) -> postcard::Result<Vec<u8>> {
    let bytes = postcard::to_extend(frame, Vec::new())?;
    match frame {
        Frame::Endpoints(difference) => {
            let extension = Extension {
                protocol: Protocol::CURRENT,
                era: difference.era,
            };
            let bytes = postcard::to_extend(&extension, bytes)?;
            postcard::to_extend(&difference.to_software(), bytes)
        }
        Frame::Manifest(manifest) => {
            let bytes = postcard::to_extend(&manifest.restrictions, bytes)?;
            match manifest.health_paths.is_empty() {
                true => Ok(bytes),
                false => postcard::to_extend(&manifest.health_paths, bytes),
            }
        }
        Frame::Busy | Frame::Part(_) => Ok(bytes),
    }
}

/// Decodes one frame of a snapshot.
///
/// # Errors
/// Returns an error if the bytes are not a valid frame.
pub fn frame_from_bytes(bytes: &[u8]) -> postcard::Result<Frame> {
    let (mut frame, rest) = postcard::take_from_bytes(bytes)?;
    match &mut frame {
        Frame::Endpoints(difference) => {
            let (extension, rest) = take_extension(rest)?;
            difference.era = extension.era;
            if !rest.is_empty() {
                difference.set_software(&postcard::take_from_bytes(rest)?.0);
            }
        }
        Frame::Manifest(manifest) if !rest.is_empty() => {
            let (restrictions, rest) = postcard::take_from_bytes(rest)?;
            manifest.restrictions = restrictions;
            manifest.health_paths = take_list(rest)?.0;
        }
        Frame::Manifest(_) | Frame::Busy | Frame::Part(_) => {}
    }
    Ok(frame)
}

/// Decodes the extension, which may be missing, and returns it with the remaining bytes.
fn take_extension(rest: &[u8]) -> postcard::Result<(Extension, &[u8])> {
    match rest {
        [] => Ok((Extension::NONE, rest)),
        rest => postcard::take_from_bytes(rest),
    }
}

/// Decodes a list that follows a lease request or the extension of a status, and may be
/// missing, and returns it with the remaining bytes.
fn take_list<T: DeserializeOwned>(rest: &[u8]) -> postcard::Result<(Vec<T>, &[u8])> {
    match rest {
        [] => Ok((Vec::new(), rest)),
        rest => postcard::take_from_bytes(rest),
    }
}
