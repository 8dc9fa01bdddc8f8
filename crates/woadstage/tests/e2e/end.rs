//! What a process says when it ends.

use rstest::rstest;
use rustix::process::Signal;
use woadstage_standin::cases;

use crate::process::Site;
use crate::support::run;

macro_rules! wrong_settings {
    ($($name:ident: $code:literal, |$settings:pat_param| $change:expr;)*) => {
        #[rstest]
        $(#[case::$name($code, |$settings: &str| $change)])*
        fn wrong_settings_end_a_node_at_once_with_their_code(
            #[case] code: &str,
            #[case] change: fn(&str) -> String,
        ) {
            run(async {
                let site = Site::new().await?;
                site.write_settings(&change(&site.settings));
                let mut node = site.start();
                assert_eq!(node.wait_for_end().await, Some(1));
                let last = node.last_line();
                assert!(last.contains("serve: Node ended."), "{}", node.text());
                assert!(last.contains(&format!("code={code}")), "{}", node.text());
                assert!(!node.text().contains("serve: Waiting."), "{}", node.text());
                Ok(())
            })
        }
    };
}

wrong_settings! {
    no_toml: "W5001", |settings| settings.replace("[listen]", "listen]");
    no_time: "W5002", |settings| settings.replace("wait = \"5s\"", "wait = \"soon\"");
    unknown_fields: "W5002", |settings| settings.replace("[listen]", "speed = 3\npace = 4\n[listen]");
    no_certificate: "W5002", |settings| settings.replace("BEGIN CERTIFICATE", "BEGIN");
    one_address_for_two: "W5002", |settings| {
        let callers = settings.lines().find(|line| line.starts_with("callers")).unwrap_or_default();
        let operators = settings.lines().find(|line| line.starts_with("operators")).unwrap_or_default();
        settings.replace(operators, &callers.replace("callers", "operators"))
    };
    address_of_another_host: "W5013", |settings| settings.replace("callers = \"127", "callers = \"192.0.2.1:1\" #");
}

cases! {
    a_planned_stop_is_the_last_line => run(async {
        let site = Site::new().await?;
        let mut node = site.start();
        node.wait_until_serving(site.addresses).await;
        node.signal(Signal::TERM);
        assert_eq!(node.wait_for_end().await, Some(0));
        let last = node.last_line();
        assert!(last.contains("serve: Node ended.") && last.contains("status=0"), "{}", node.text());
        Ok(())
    });

    a_stop_while_the_node_waits_is_the_last_line => run(async {
        let site = Site::new().await?;
        let _holder = std::net::TcpListener::bind(site.addresses.callers)?;
        let mut node = site.start();
        node.wait_for_text("serve: Waiting.").await;
        node.signal(Signal::TERM);
        assert_eq!(node.wait_for_end().await, Some(0));
        let last = node.last_line();
        assert!(last.contains("serve: Node ended.") && last.contains("status=0"), "{}", node.text());
        Ok(())
    });
}
