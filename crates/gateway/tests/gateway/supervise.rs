//! Tests that the tasks of a node start again when they end, and that the node ends if that does not
//! help.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use woadstage_gateway::shell::Phase;
use woadstage_gateway::supervise::Supervisor;
use woadstage_types::code::Code;

use crate::support::Gateway;
use crate::support::run;

/// Spawns a task that ends by itself this many times, and otherwise waits. Returns the number of its
/// starts.
fn spawn(supervisor: &Supervisor, is_essential: bool, ends: u32, panics: bool) -> Rc<Cell<u32>> {
    let starts = Rc::new(Cell::new(0));
    let counted = starts.clone();
    let start = move || {
        counted.set(counted.get() + 1);
        let start = counted.get();
        async move {
            match start > ends {
                true => std::future::pending().await,
                false => assert!(!panics, "the task fails"),
            }
        }
    };
    match is_essential {
        true => supervisor.spawn_essential("test", start),
        false => supervisor.spawn("test", start),
    }
    starts
}

// Guards against a process that lives on without its timer, a listener or news of the platform.
#[rstest]
#[case::panicked(true, "panicked")]
#[case::returned(false, "returned")]
fn a_task_that_ends_starts_again(
    #[case] panics: bool,
    #[case] how: &'static str,
    #[values(true, false)] is_essential: bool,
) {
    run(|| async move {
        let gateway = Gateway::start(&[]).await;
        let supervisor = Supervisor::new(gateway.shell.clone());
        let starts = spawn(&supervisor, is_essential, 2, panics);
        let how = format!("\"how\":\"{how}\"");
        gateway
            .wait_for_line(&["\"task-ended\"", "\"task\":\"test\"", &how])
            .await;
        while starts.get() < 3 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

#[test]
fn an_essential_task_that_ends_again_and_again_fails_the_node() {
    run(|| async {
        let gateway = Gateway::start(&[]).await;
        let supervisor = Supervisor::new(gateway.shell.clone());
        spawn(&supervisor, true, u32::MAX, true);
        let failure = supervisor.wait_for_failure().await;
        assert_eq!(failure.code, Code::TaskFailed);
        assert!(failure.detail.contains("test"), "{failure}");
    });
}

// Guards against a fleet that ends because none of its nodes can apply a document.
#[test]
fn another_task_that_ends_again_and_again_does_not_fail_the_node() {
    run(|| async {
        let gateway = Gateway::start(&[]).await;
        let supervisor = Supervisor::new(gateway.shell.clone());
        let starts = spawn(&supervisor, false, 12, true);
        tokio::select! {
            failure = supervisor.wait_for_failure() => panic!("{failure}"),
            () = async {
                while starts.get() < 13 {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            } => {}
        }
    });
}

#[test]
fn a_task_that_ends_in_a_stop_does_not_start_again() {
    run(|| async {
        let gateway = Gateway::start(&[]).await;
        gateway.shell.set_phase(Phase::Stopped);
        let supervisor = Supervisor::new(gateway.shell.clone());
        let starts = spawn(&supervisor, true, u32::MAX, false);
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(starts.get(), 1);
    });
}
