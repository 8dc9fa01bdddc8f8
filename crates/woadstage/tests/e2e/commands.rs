//! Subcommands of the binary, as an operator uses them.

use std::process::Command;
use std::process::Output;

use woadstage_standin::cases;
use woadstage_standin::client::Caller;

use crate::support::caller;
use crate::support::fleet;
use crate::support::program;
use crate::support::run;
use crate::support::until;

fn woadstage(arguments: &[&str]) -> Output {
    Command::new(program())
        .args(arguments)
        .output()
        .expect("the program should start")
}

async fn woadstage_blocking(arguments: &[&str]) -> anyhow::Result<Output> {
    let arguments: Vec<String> = arguments.iter().map(|text| text.to_string()).collect();
    let task = tokio::task::spawn_blocking(move || {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        woadstage(&arguments)
    });
    Ok(task.await?)
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).to_string()
}

cases! {
    usage_errors_exit_with_code_two => {
        assert_eq!(woadstage(&["serve"]).status.code(), Some(2));
        assert_eq!(woadstage(&["check"]).status.code(), Some(2));
        assert_eq!(woadstage(&["fly"]).status.code(), Some(2));
        assert_eq!(woadstage(&["codes"]).status.code(), Some(0));
    };

    check_reports_all_faults_of_node_settings => {
        let folder = std::env::temp_dir().join(format!("woadstage-check-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder should be created");
        let file = folder.join("bad.toml");
        let bad = "[node]\nhost = \"a\"\nheartbeat = \"soon\"\nspeed = 3\n[listen]\ncallers = \"here\"\n";
        std::fs::write(&file, bad).expect("the file should be written");
        let output = woadstage(&["check", "--settings", &file.display().to_string()]);
        let stdout = text(&output);
        assert_eq!(output.status.code(), Some(1));
        for place in ["node.heartbeat", "node.speed", "node.data_centre", "listen.callers"] {
            assert!(stdout.contains(place), "{place}: {stdout}");
        }
        assert_eq!(woadstage(&["serve", "--settings", &file.display().to_string()]).status.code(), Some(1));
        std::fs::remove_dir_all(&folder).expect("the folder should be removed");
    };

    check_reports_all_faults_of_gateway_settings => {
        let folder = std::env::temp_dir().join(format!("woadstage-gateway-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder should be created");
        let file = folder.join("bad.toml");
        let bad = "[node]\nhost = \"a\"\nspeed = 3\n[listen]\ncallers = \"here\"\n[peers]\nseeds = [\"x\"]\n";
        std::fs::write(&file, bad).expect("the file should be written");
        let output = woadstage(&["check", "--gateway", &file.display().to_string()]);
        let stdout = text(&output);
        assert_eq!(output.status.code(), Some(1));
        for place in ["node.speed", "node.data_centre", "listen.callers", "peers.seeds", "platform.address"] {
            assert!(stdout.contains(place), "{place}: {stdout}");
        }
        assert_eq!(woadstage(&["gateway", "--settings", &file.display().to_string()]).status.code(), Some(1));
        std::fs::remove_dir_all(&folder).expect("the folder should be removed");
    };

    explain_reads_the_logs_of_several_nodes => {
        let folder = std::env::temp_dir().join(format!("woadstage-explain-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder should be created");
        let logs = ["one.log", "two.log"].map(|name| folder.join(name).display().to_string());
        let left = "{\"time_ms\":5,\"event\":\"left\",\"request\":\"r-1\",\"after_ms\":7}\n";
        std::fs::write(&logs[0], "").expect("the file should be written");
        std::fs::write(&logs[1], left).expect("the file should be written");
        let output = woadstage(&["explain", "--logs", &logs[0], "--logs", &logs[1], "r-1"]);
        assert_eq!(output.status.code(), Some(0));
        assert!(text(&output).contains("The caller left after 7 ms"), "{}", text(&output));
        let unknown = woadstage(&["explain", "--logs", &logs[1], "r-2"]);
        assert_eq!(unknown.status.code(), Some(1));
        assert_eq!(woadstage(&["explain", "r-1"]).status.code(), Some(2));
        std::fs::remove_dir_all(&folder).expect("the folder should be removed");
    };

    published_plan_takes_effect_on_all_nodes => run(async {
        let fleet = fleet().await?;
        let intent = fleet.folder().join("intent.toml");
        let output = fleet.folder().join("next.toml");
        std::fs::write(&intent, "[[events]]\nname = \"friday call-out\"\nstart = 2026-12-04T17:00:00Z\nend = 2026-12-04T20:00:00Z\nprotect = \"rescue\"\n")?;
        let node = &fleet.nodes[0].operators;
        let (intent, output) = (intent.display().to_string(), output.display().to_string());
        let planned =
            woadstage_blocking(&["plan", "--node", node, &intent, "--output", &output]).await?;
        let stdout = text(&planned);
        assert!(stdout.contains("events.friday call-out") && stdout.contains("check-and-set"), "{stdout}");
        let status = woadstage_blocking(&["status", "--node", node]).await?;
        assert!(text(&status).contains("revision 1"), "a plan should not take effect before it is published");
        let checked = woadstage_blocking(&["check", "--config", &output]).await?;
        assert_eq!(checked.status.code(), Some(0), "{}", text(&checked));
        fleet.platform.put("woadstage/config", &std::fs::read_to_string(&output)?);
        for node in &fleet.nodes {
            until("revision 2 is in force", || async {
                fleet.status(node).await.unwrap_or_default()["revision"] == 2
            })
            .await;
        }
        Ok(())
    });

    invalid_intent_is_refused_with_its_faults => run(async {
        let fleet = fleet().await?;
        let intent = fleet.folder().join("intent.toml");
        std::fs::write(&intent, "[[classes]]\nname = \"recap\"\ntier = \"gold\"\n")?;
        let intent = intent.display().to_string();
        let node = &fleet.nodes[0].operators;
        let planned = woadstage_blocking(&["plan", "--node", node, &intent]).await?;
        assert_eq!(planned.status.code(), Some(1));
        assert!(text(&planned).contains("W5004 classes.recap.tier"), "{}", text(&planned));
        Ok(())
    });

    explain_shows_the_decisions_of_a_running_node => run(async {
        let fleet = fleet().await?;
        let chat = caller().chat(&fleet.nodes[0].callers, "recap", "finale", 3, true).await?;
        let node = &fleet.nodes[0].operators;
        let output = woadstage_blocking(&["explain", "--node", node, &chat.request]).await?;
        let stdout = text(&output);
        assert!(stdout.contains("Arrived as recap") && stdout.contains("Called engine-"), "{stdout}");
        let unknown_id = "00000000000070008000000000000001";
        let unknown = woadstage_blocking(&["explain", "--node", node, unknown_id]).await?;
        assert_eq!(unknown.status.code(), Some(1));
        assert!(text(&unknown).contains("W5010"));
        Ok(())
    });

    metrics_have_bounded_labels_and_no_secrets => run(async {
        let fleet = fleet().await?;
        let words = "a secret handover text";
        caller().chat(&fleet.nodes[0].callers, "recap", words, 3, true).await?;
        let uri = format!("http://{}/metrics", fleet.nodes[0].operators);
        let metrics = Caller::new("").send("GET", &uri, &[], "").await?.body;
        assert!(metrics.contains("woadstage_latency_seconds_bucket{class=\"recap\""), "{metrics}");
        assert!(metrics.contains("woadstage_requests_total{code=\"W0000\""));
        assert!(!metrics.contains("secret") && !metrics.contains("token-one"));
        Ok(())
    });
}
