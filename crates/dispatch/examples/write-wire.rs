//! Prints one message of every kind as this build encodes it, one per line: its name and its
//! bytes in hex. For each new protocol version the output is stored in `tests/dispatch/wire/`
//! under its number; files of older versions are never regenerated.

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
