//! Tests of repeated attempts, in virtual time.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::time::Duration;

use rstest::rstest;
use rustix::io::Errno;
use woadstage_startup::failure::Failure;
use woadstage_startup::retry::Options;
use woadstage_startup::retry::Waiting;
use woadstage_startup::retry::retry;
use woadstage_types::code::Code;

fn failure(error: Errno) -> Failure {
    Failure::refused("address", &io::Error::from(error))
}

/// Fails this many times, and returns the result and what was reported.
async fn run(failures: u32, error: Errno) -> (Result<u32, Failure>, Vec<Waiting>) {
    let (attempts, reported) = (Cell::new(0), RefCell::new(Vec::new()));
    let attempt = || {
        attempts.set(attempts.get() + 1);
        match attempts.get() > failures {
            true => Ok(attempts.get()),
            false => Err(failure(error)),
        }
    };
    let report = |waiting: &Waiting| reported.borrow_mut().push(waiting.clone());
    let result = retry(&Options::default(), attempt, report).await;
    (result, reported.into_inner())
}

macro_rules! errors {
    ($($name:ident: $error:ident, $code:ident, waits $waits:literal;)*) => {
        #[rstest]
        $(#[case::$name(Errno::$error, Code::$code, $waits)])*
        #[tokio::test(start_paused = true)]
        async fn only_what_may_pass_is_tried_again(
            #[case] error: Errno,
            #[case] code: Code,
            #[case] waits: bool,
        ) {
            let (result, reported) = run(3, error).await;
            assert_eq!(failure(error).code, code);
            assert_eq!(result.is_ok(), waits);
            assert_eq!(reported.len(), usize::from(waits));
        }
    };
}

errors! {
    address_in_use: ADDRINUSE, AddressInUse, waits true;
    descriptors: MFILE, HostExhausted, waits true;
    descriptors_of_the_host: NFILE, HostExhausted, waits true;
    memory: NOMEM, HostExhausted, waits true;
    buffers: NOBUFS, HostExhausted, waits true;
    threads: AGAIN, HostExhausted, waits true;
    address_of_another_host: ADDRNOTAVAIL, HostRefused, waits false;
    permission: ACCESS, HostRefused, waits false;
}

#[tokio::test(start_paused = true)]
async fn a_long_wait_is_reported_again_and_ends_in_time() {
    let (result, reported) = run(u32::MAX, Errno::ADDRINUSE).await;
    assert_eq!(result, Err(failure(Errno::ADDRINUSE)));
    let reports =
        Options::default().within.as_secs() / Options::default().report_interval.as_secs();
    let long = reported.iter().filter(|waiting| !waiting.waited.is_zero());
    assert!((reports - 1..=reports).contains(&(long.count() as u64)));
    assert!(Options::default().within > Duration::from_secs(60));
}
