//! Writes one of every kind of message as this build puts it on the wire, a line each:
//! its name and its bytes in hex. Kept in `tests/dispatch/wire/` under the number of the
//! protocol at each new one, and never written anew for an old one.

use woadstage_dispatch::wire;

#[path = "../tests/dispatch/wire/samples.rs"]
mod samples;

fn main() -> postcard::Result<()> {
    for (name, message) in samples::messages() {
        print(name, &wire::to_datagram(&message)?);
    }
    for (name, message) in samples::refusals() {
        print(&name, &wire::to_datagram(&message)?);
    }
    for (name, pull) in samples::pulls() {
        print(name, &wire::pull_to_bytes(&pull)?);
    }
    for (name, frame) in samples::frames() {
        print(name, &wire::frame_to_bytes(&frame)?);
    }
    Ok(())
}

fn print(name: &str, bytes: &[u8]) {
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    println!("{name} {hex}");
}
