//! Resets callers' connections. An answer in HTTP/1.0 ends with its connection, so that one that is
//! aborted must not end in an orderly close.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Decides whether a connection is reset when it is dropped.
#[derive(Debug, Clone, Default)]
pub struct Switch(Rc<Cell<bool>>);

impl Switch {
    /// Resets the connection when it is dropped, instead of closing it.
    pub fn set(&self) {
        self.0.set(true);
    }
}

/// A connection of a caller.
pub struct Stream {
    stream: TcpStream,
    reset: Switch,
}

impl Stream {
    /// Wraps a connection, which is reset when dropped if `reset` is set by then.
    pub fn new(stream: TcpStream, reset: Switch) -> Stream {
        Stream { stream, reset }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.reset.0.get() {
            // A failure means that the connection is gone already.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
