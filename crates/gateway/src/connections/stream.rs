//! Resets callers' connections. An answer in HTTP/1.0 ends with its connection, so that one that is
//! aborted must not end in an orderly close. A caller that does not read its answer must not hold its
//! endpoint beyond the request's deadline: nothing is read from the endpoint meanwhile, so that only
//! the caller's connection shows that time passes.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

/// Decides whether a connection is reset when it is dropped, and until when its caller has to read.
#[derive(Debug, Clone, Default)]
pub struct Switch(Rc<State>);

#[derive(Debug, Default)]
struct State {
    is_set: Cell<bool>,
    deadline: Cell<Option<Instant>>,
}

impl Switch {
    /// Resets the connection when it is dropped, instead of closing it.
    pub fn set(&self) {
        self.0.is_set.set(true);
    }

    /// Resets the connection if its caller still lets writes wait at this time; `None` for never.
    pub fn set_deadline(&self, deadline: Option<Instant>) {
        self.0.deadline.set(deadline);
    }
}

/// A connection of a caller.
pub struct Stream {
    stream: TcpStream,
    reset: Switch,
    /// Runs while a write waits.
    timer: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    /// Wraps a connection, which is reset when dropped if `reset` is set by then.
    pub fn new(stream: TcpStream, reset: Switch) -> Stream {
        Stream {
            stream,
            reset,
            timer: None,
        }
    }

    /// Fails a write that waits at the deadline.
    fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let Some(deadline) = self.reset.0.deadline.get() else {
            self.timer = None;
            return Poll::Pending;
        };
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        if timer.deadline() != deadline {
            timer.as_mut().reset(deadline);
        }
        ready!(timer.as_mut().poll(context));
        self.reset.set();
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.reset.0.is_set.get() {
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
        match Pin::new(&mut self.stream).poll_write(context, bytes) {
            Poll::Pending => self.poll_expired(context),
            written => written,
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_write_vectored(context, slices) {
            Poll::Pending => self.poll_expired(context),
            written => written,
        }
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
