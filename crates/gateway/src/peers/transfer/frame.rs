//! Frames messages on a stream: one byte for the layout, then each message prefixed with its
//! length.

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use woadstage_dispatch::protocol;

use super::PROGRESS_TIMEOUT;

/// The maximum length of a message with its prefix, in bytes. A part of a configuration is far
/// shorter; a list of 3,100 endpoints takes about 300 KiB.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// The size of the buffer for one read, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Appends the layout byte that starts every stream.
pub fn put_layout(bytes: &mut Vec<u8>) {
    bytes.push(protocol::LAYOUT);
}

/// Appends a message with its length prefix.
///
/// # Errors
/// Returns an error if the length of the message doesn't fit the prefix.
pub fn put_message(bytes: &mut Vec<u8>, message: &[u8]) -> anyhow::Result<()> {
    let length = u32::try_from(message.len())?;
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(message);
    Ok(())
}

/// Writes all bytes; the timeout applies to each write, not to the whole.
///
/// # Errors
/// Returns an error if the stream fails or a write makes no progress in time.
pub async fn write(stream: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> anyhow::Result<()> {
    let mut remaining = bytes;
    while !remaining.is_empty() {
        let written = tokio::time::timeout(PROGRESS_TIMEOUT, stream.write(remaining)).await??;
        anyhow::ensure!(written > 0, "the peer accepts no more bytes");
        remaining = &remaining[written..];
    }
    Ok(())
}

/// Reads the messages of a stream one at a time.
pub struct Reader<S> {
    stream: S,
    buffered: Vec<u8>,
    layout_checked: bool,
    /// The number of bytes read so far.
    pub total_bytes: usize,
}

impl<S: AsyncRead + Unpin> Reader<S> {
    /// Returns a reader at the start of a stream.
    pub fn new(stream: S) -> Reader<S> {
        Reader {
            stream,
            buffered: Vec::new(),
            layout_checked: false,
            total_bytes: 0,
        }
    }

    /// Returns a reader of a stream whose layout byte was read and is supported.
    pub fn after_layout(stream: S) -> Reader<S> {
        Reader {
            layout_checked: true,
            ..Reader::new(stream)
        }
    }

    /// Returns the next message as decoded by `decode`, or `None` at the end of the stream.
    ///
    /// # Errors
    /// Returns an error if the stream fails, ends within a message, makes no progress in time or
    /// has an unsupported layout, or if a message is too long or can't be decoded.
    pub async fn next<M>(
        &mut self,
        decode: impl FnOnce(&[u8]) -> postcard::Result<M>,
    ) -> anyhow::Result<Option<M>> {
        if !self.layout_checked {
            if !self.fill(1).await? {
                return Ok(None);
            }
            let layout = self.buffered.remove(0);
            anyhow::ensure!(
                layout == protocol::LAYOUT,
                "unsupported message layout {layout}"
            );
            self.layout_checked = true;
        }
        const PREFIX_BYTES: usize = size_of::<u32>();
        if !self.fill(PREFIX_BYTES).await? {
            return Ok(None);
        }
        let length: [u8; PREFIX_BYTES] = self.buffered[..PREFIX_BYTES].try_into()?;
        let end = PREFIX_BYTES + u32::from_le_bytes(length) as usize;
        anyhow::ensure!(
            end <= MAX_MESSAGE_BYTES,
            "message of {end} bytes exceeds the limit of {MAX_MESSAGE_BYTES}"
        );
        anyhow::ensure!(self.fill(end).await?, "the stream ended within a message");
        let message = decode(&self.buffered[PREFIX_BYTES..end])?;
        self.buffered.drain(..end);
        Ok(Some(message))
    }

    /// Reads until `count` bytes are buffered. Returns false if the stream ended with an empty
    /// buffer.
    async fn fill(&mut self, count: usize) -> anyhow::Result<bool> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        while self.buffered.len() < count {
            let reading = self.stream.read(&mut buffer);
            let read = tokio::time::timeout(PROGRESS_TIMEOUT, reading).await??;
            if read == 0 {
                anyhow::ensure!(
                    self.buffered.is_empty(),
                    "the stream ended within a message"
                );
                return Ok(false);
            }
            self.total_bytes += read;
            self.buffered.extend_from_slice(&buffer[..read]);
        }
        Ok(true)
    }
}
