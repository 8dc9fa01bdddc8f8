//! Tests that the end of a task which a node can't serve without is noticed.

use futures_util::FutureExt;
use rstest::rstest;
use woadstage_node::tasks::Tasks;
use woadstage_types::code::Code;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.expect("the runtime starts").block_on(test);
}

macro_rules! ends {
    ($($name:ident: $task:expr => $how:literal;)*) => {
        // Guards against a node that lives on without a listener or news of the platform.
        #[rstest]
        $(#[case::$name($task.boxed(), $how)])*
        fn a_task_that_ends_is_named(
            #[case] task: futures_util::future::BoxFuture<'static, ()>,
            #[case] how: &str,
        ) {
            run(async {
                let mut tasks = Tasks::default();
                tasks.spawn("callers", std::future::pending());
                tasks.spawn("platform", task);
                let failure = tasks.wait_for_failure().await;
                assert_eq!(failure.code, Code::TaskFailed);
                assert!(failure.detail.starts_with("W5015 platform: "), "{failure}");
                assert!(failure.detail.ends_with(how), "{failure}");
            });
        }
    };
}

ends! {
    returned: async {} => "It returned.";
    returned_later: tokio::task::yield_now() => "It returned.";
    panicked: async { panic!("the words of a caller") } => "It panicked.";
}

#[test]
fn tasks_that_run_are_waited_for() {
    run(async {
        let mut tasks = Tasks::default();
        assert!(tasks.wait_for_failure().now_or_never().is_none());
        tasks.spawn("callers", std::future::pending());
        tokio::task::yield_now().await;
        assert!(tasks.wait_for_failure().now_or_never().is_none());
    });
}
