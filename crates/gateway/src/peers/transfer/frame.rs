//! Messages on a stream: their layout once, then each message after its length.

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use woadstage_dispatch::protocol;

use super::PROGRESS_WITHIN;

/// Longest message, in bytes. A part of a configuration is far shorter; a list
/// of 3,100 endpoints takes some 300 KiB.
const MESSAGE_MOST: usize = 8 << 20;

/// Bytes that are read at once.
const READ_AT_ONCE: usize = 16 << 10;

/// Adds the layout with which every stream begins.
pub fn begin(bytes: &mut Vec<u8>) {
    bytes.push(protocol::LAYOUT);
}

/// Adds a message.
///
/// # Errors
/// Where it is too long for the field that holds its length.
pub fn add(bytes: &mut Vec<u8>, message: &[u8]) -> anyhow::Result<()> {
    let length = u32::try_from(message.len())?;
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(message);
    Ok(())
}

/// Writes all bytes, for as long as the other end takes some.
///
/// # Errors
/// Where the stream breaks or nothing moves any more.
pub async fn write(stream: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> anyhow::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let written = tokio::time::timeout(PROGRESS_WITHIN, stream.write(rest)).await??;
        anyhow::ensure!(written > 0, "the other end takes no more");
        rest = &rest[written..];
    }
    Ok(())
}

/// Reads the messages of a stream, one by one.
pub struct Reader<S> {
    stream: S,
    bytes: Vec<u8>,
    begun: bool,
    /// Bytes read so far.
    pub total: usize,
}

impl<S: AsyncRead + Unpin> Reader<S> {
    /// Nothing was read yet.
    pub fn new(stream: S) -> Reader<S> {
        Reader {
            stream,
            bytes: Vec::new(),
            begun: false,
            total: 0,
        }
    }

    /// The next message, which `decode` reads, or none at the end of the stream.
    ///
    /// # Errors
    /// Where the stream breaks, ends within a message or brings nothing more,
    /// and where it has another layout.
    pub async fn next<M>(
        &mut self,
        decode: impl FnOnce(&[u8]) -> postcard::Result<M>,
    ) -> anyhow::Result<Option<M>> {
        if !self.begun {
            if !self.fill(1).await? {
                return Ok(None);
            }
            let layout = self.bytes.remove(0);
            anyhow::ensure!(
                layout == protocol::LAYOUT,
                "another layout of messages: {layout}"
            );
            self.begun = true;
        }
        const LENGTH: usize = size_of::<u32>();
        if !self.fill(LENGTH).await? {
            return Ok(None);
        }
        let length: [u8; LENGTH] = self.bytes[..LENGTH].try_into()?;
        let end = LENGTH + u32::from_le_bytes(length) as usize;
        anyhow::ensure!(end <= MESSAGE_MOST, "a message of {end} bytes");
        anyhow::ensure!(self.fill(end).await?, "the stream ended within a message");
        let message = decode(&self.bytes[LENGTH..end])?;
        self.bytes.drain(..end);
        Ok(Some(message))
    }

    /// Reads until so many bytes are there; false where the stream ended
    /// before the first of them.
    async fn fill(&mut self, count: usize) -> anyhow::Result<bool> {
        let mut buffer = [0; READ_AT_ONCE];
        while self.bytes.len() < count {
            let reading = self.stream.read(&mut buffer);
            let read = tokio::time::timeout(PROGRESS_WITHIN, reading).await??;
            if read == 0 {
                anyhow::ensure!(self.bytes.is_empty(), "the stream ended within a message");
                return Ok(false);
            }
            self.total += read;
            self.bytes.extend_from_slice(&buffer[..read]);
        }
        Ok(true)
    }
}
