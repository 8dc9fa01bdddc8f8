//! What a process says when it ends.

use rstest::rstest;
use rustix::process::Signal;

use crate::support::Addresses;
use crate::support::Folder;

macro_rules! wrong_settings {
    ($($name:ident: $code:literal, |$settings:pat_param| $change:expr;)*) => {
        #[rstest]
        $(#[case::$name($code, |$settings: &str| $change)])*
        fn wrong_settings_end_a_node_at_once_with_their_code(
            #[case] code: &str,
            #[case] change: fn(&str) -> String,
        ) {
            let (folder, addresses) = (Folder::new(), Addresses::new());
            folder.write_settings(&change(&addresses.to_settings()));
            let mut node = folder.start();
            assert_eq!(node.wait_for_end().code(), Some(1));
            let last = node.last_line();
            assert_eq!((&last["event"], &last["code"]), (&"ended".into(), &code.into()));
            assert!(node.text().contains(&format!("woadstage: {code} ")), "{}", node.text());
            assert!(node.events("waiting").is_empty(), "{}", node.text());
        }
    };
}

wrong_settings! {
    no_toml: "W5001", |settings| settings.replace("[listen]", "listen]");
    no_time: "W5002", |settings| settings.replace("\"5s\"", "\"soon\"");
    unknown_field: "W5002", |settings| settings.replace("[node]", "speed = 3\n[node]");
    wrong_port: "W5002", |settings| settings.replace("callers = \"127", "callers = \"1270");
    one_address_for_two: "W5002", |settings| {
        let callers = settings.lines().find(|line| line.starts_with("callers")).unwrap_or_default();
        let ready = settings.lines().find(|line| line.starts_with("ready")).unwrap_or_default();
        settings.replace(ready, &callers.replace("callers", "ready"))
    };
    address_of_another_host: "W5013", |settings| settings.replace("callers = \"127", "callers = \"192.0.2.1:1\" #");
}

#[test]
fn a_planned_stop_is_the_last_line() {
    let (folder, addresses) = (Folder::new(), Addresses::new());
    folder.write_settings(&addresses.to_settings());
    let mut node = folder.start();
    node.wait_until_serving(addresses);
    node.signal(Signal::TERM);
    assert_eq!(node.wait_for_end().code(), Some(0));
    let last = node.last_line();
    assert_eq!(
        (&last["event"], &last["status"]),
        (&"ended".into(), &0.into())
    );
}

// Guards against a process that neither runs nor ends, since nobody reads its errors.
#[test]
fn a_node_ends_although_nobody_reads_its_errors() {
    let (folder, addresses) = (Folder::new(), Addresses::new());
    let unknown: String = (0..4_000).map(|at| format!("unknown-{at} = 1\n")).collect();
    folder.write_settings(&format!("{unknown}{}", addresses.to_settings()));
    let mut node = folder.start_with_unread_errors();
    assert_eq!(node.wait_for_end().code(), Some(1));
    let last = node.last_line();
    assert_eq!(
        (&last["event"], &last["code"]),
        (&"ended".into(), &"W5002".into())
    );
}
