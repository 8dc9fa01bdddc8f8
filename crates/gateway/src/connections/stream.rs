//! A connection that tells its registry how far it is.
//!
//! An answer in HTTP/1.0 ends with its connection, so that one that is aborted must not end in an
//! orderly close: such a connection is reset. A connection whose peer does not read what is written to
//! it is reset after some time: neither the buffers here nor an endpoint that answers may wait for it
//! without a bound.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

use super::registry::State;
use super::registry::Tracker;
use crate::clock::Clock;

/// Decides whether a connection is reset when it is dropped, and until when its peer has to read.
#[derive(Debug, Clone)]
pub struct Switch(Rc<Settings>);

#[derive(Debug)]
struct Settings {
    is_set: Cell<bool>,
    lingers: Cell<bool>,
    deadline: Cell<Option<Instant>>,
    default_patience: Duration,
    patience: Cell<Duration>,
}

impl Switch {
    /// Creates a switch that isn't set. The connection is reset if its peer reads nothing for as long
    /// as `patience` while something is written to it.
    pub fn new(patience: Duration) -> Switch {
        Switch(Rc::new(Settings {
            is_set: Cell::new(false),
            lingers: Cell::new(false),
            deadline: Cell::new(None),
            default_patience: patience,
            patience: Cell::new(patience),
        }))
    }

    /// Resets the connection when it is dropped, instead of closing it.
    pub fn set(&self) {
        self.0.is_set.set(true);
    }

    /// Decides whether what still arrives when the connection is closed is read and dropped for some
    /// time. Closing a connection with unread bytes resets it, and the answer to a peer that is still
    /// sending would be lost.
    pub fn set_lingers(&self, lingers: bool) {
        self.0.lingers.set(lingers);
    }

    /// Resets the connection if its peer still lets writes wait at this time; `None` for no such time.
    pub fn set_deadline(&self, deadline: Option<Instant>) {
        self.0.deadline.set(deadline);
    }

    /// Sets for how long the peer may read nothing; `None` for the default.
    pub fn set_patience(&self, patience: Option<Duration>) {
        let patience = patience.unwrap_or(self.0.default_patience);
        self.0.patience.set(patience);
    }
}

/// The most bytes that are read before a connection gets its buffers.
const MAX_FIRST_BYTES: usize = 1 << 10;

/// Waits for the first bytes of a connection, for at most `timeout`. `None` if none arrive, or if the
/// connection has to be closed before.
pub async fn read_first(stream: &TcpStream, timeout: Duration, tracker: &Tracker) -> Option<Bytes> {
    let reading = async {
        loop {
            stream.readable().await?;
            let mut bytes = BytesMut::with_capacity(MAX_FIRST_BYTES);
            match stream.try_read_buf(&mut bytes) {
                // A socket may be reported as readable without cause.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return read.map(|_| bytes.freeze()),
            }
        }
    };
    let read = tokio::select! {
        read = tokio::time::timeout(timeout, reading) => read,
        _ = tracker.closed() => return None,
    };
    read.ok()?.ok().filter(|bytes| !bytes.is_empty())
}

/// How long a peer may go on sending after the answer, and how much.
const LINGER_TIME: Duration = Duration::from_secs(1);
const MAX_LINGER_BYTES: usize = 1 << 20;

/// The size of the buffer for what is dropped.
const LINGER_BUFFER_BYTES: usize = 4 << 10;

/// A connection that is being closed while its peer is still sending.
struct Lingering {
    timer: Pin<Box<Sleep>>,
    dropped_bytes: usize,
}

/// A connection that was accepted.
pub struct Stream {
    stream: TcpStream,
    /// What was read from it before.
    read_before: Bytes,
    clock: Clock,
    switch: Switch,
    tracker: Tracker,
    /// Since when a write waits.
    stalled_since: Option<Instant>,
    /// Runs while a write waits.
    timer: Option<Pin<Box<Sleep>>>,
    lingering: Option<Lingering>,
}

impl Stream {
    /// Wraps a connection, which is reset when dropped if `switch` is set by then. `read_before` was read
    /// from it already.
    pub fn new(
        stream: TcpStream,
        read_before: Bytes,
        clock: Clock,
        switch: Switch,
        tracker: Tracker,
    ) -> Stream {
        Stream {
            stream,
            read_before,
            clock,
            switch,
            tracker,
            stalled_since: None,
            timer: None,
            lingering: None,
        }
    }

    /// Reads and drops what arrives, until the peer closes or has had its time.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let lingering = self.lingering.get_or_insert_with(|| Lingering {
            timer: Box::pin(tokio::time::sleep(LINGER_TIME)),
            dropped_bytes: 0,
        });
        if lingering.timer.as_mut().poll(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        let mut bytes = [0; LINGER_BUFFER_BYTES];
        while lingering.dropped_bytes < MAX_LINGER_BYTES {
            let mut buffer = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
            if buffer.filled().is_empty() {
                break;
            }
            lingering.dropped_bytes += buffer.filled().len();
        }
        Poll::Ready(Ok(()))
    }

    /// Records the outcome of a write, and fails one that waits for too long.
    fn follow_write(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_pending() {
            return self.poll_expired(context);
        }
        if self.stalled_since.take().is_some() {
            self.timer = None;
            self.tracker.set_stalled(self.clock.now(), false);
        }
        written
    }

    fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let since = *self.stalled_since.get_or_insert_with(Instant::now);
        self.tracker.set_stalled(self.clock.now(), true);
        let settings = &self.switch.0;
        let until = since + settings.patience.get();
        let deadline = settings
            .deadline
            .get()
            .map_or(until, |deadline| deadline.min(until));
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        if timer.deadline() != deadline {
            timer.as_mut().reset(deadline);
        }
        ready!(timer.as_mut().poll(context));
        self.switch.set();
        self.tracker.record_stall_timeout();
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Records that something was read.
    fn record_read(&self) {
        if matches!(self.tracker.state(), State::Silent | State::Idle) {
            self.tracker.set_state(self.clock.now(), State::Head);
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.switch.0.is_set.get() {
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
        let filled = buffer.filled().len();
        if self.read_before.is_empty() {
            ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        } else {
            let length = self.read_before.len().min(buffer.remaining());
            buffer.put_slice(&self.read_before[..length]);
            self.read_before.advance(length);
        }
        if buffer.filled().len() > filled {
            self.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.follow_write(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.follow_write(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.lingering.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        }
        match self.switch.0.lingers.get() {
            true => self.poll_linger(context),
            false => Poll::Ready(Ok(())),
        }
    }
}
