//! Killed and frozen nodes, platform outages and planned stops.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use woadstage_config::plan;
use woadstage_standin::cases;
use woadstage_standin::client::Answer;
use woadstage_standin::fleet::Fleet;
use woadstage_standin::sample;

use crate::support::caller;
use crate::support::fleet;
use crate::support::run;
use crate::support::until;

async fn confirm(fleet: &Fleet, node: usize, key: &str, body: &str) -> anyhow::Result<Answer> {
    caller()
        .confirm(&fleet.nodes[node].callers, "shift-confirmation", key, body)
        .await
}

async fn revision(fleet: &Fleet, node: usize) -> u64 {
    let status = fleet.status(&fleet.nodes[node]).await.unwrap_or_default();
    status["revision"].as_u64().unwrap_or(0)
}

fn slow_services(fleet: &Fleet, delay_ms: u64) {
    for service in &fleet.roster {
        service.set(woadstage_standin::http::service::Control {
            delay_ms,
            ..Default::default()
        });
    }
}

/// Reads once from each connection and closes it without an answer.
async fn read_and_close(listener: TcpListener, requests: Arc<AtomicU64>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut bytes = [0; 4_096];
        let read = stream.read(&mut bytes).await.unwrap_or(0);
        // Load reports use GET and are not counted.
        if bytes[..read].starts_with(b"POST") {
            requests.fetch_add(1, Ordering::SeqCst);
        }
    }
}

fn updated_document() -> String {
    let intent = "[[customers]]\nname = \"customer-5\"\nlimit = \"9/s\"\n";
    plan::build(&sample::document(), intent)
        .expect("the plan should be valid")
        .document
}

cases! {
    request_does_not_run_again_after_the_ticket_host_is_killed => run(async {
        let mut fleet = fleet().await?;
        slow_services(&fleet, 1_000);
        let key = caller().ticket(&fleet.nodes[0].callers).await?;
        let node = fleet.nodes[1].callers.clone();
        let ticket = key.clone();
        let first = tokio::spawn(async move {
            caller().confirm(&node, "shift-confirmation", &ticket, "x").await
        });
        until("the service runs it", || async { fleet.roster_runs("x") == 1 }).await;
        fleet.kill(0)?;
        let first = first.await??;
        assert_eq!(first.outcome, "unknown", "{}", first.body);
        fleet.run(0)?;
        fleet.wait_ready().await?;
        for node in 0..3 {
            let again = confirm(&fleet, node, &key, "x").await?;
            assert_eq!((again.code.as_str(), again.outcome.as_str()), ("W3001", "unknown"));
        }
        assert_eq!(fleet.roster_runs("x"), 1);
        Ok(())
    });

    ticket_works_again_after_its_host_was_frozen => run(async {
        let fleet = fleet().await?;
        let key = caller().ticket(&fleet.nodes[0].callers).await?;
        fleet.freeze(0)?;
        let frozen = confirm(&fleet, 1, &key, "x").await?;
        assert_eq!(frozen.outcome, "unknown", "{}", frozen.body);
        fleet.thaw(0)?;
        fleet.wait_ready().await?;
        let again = confirm(&fleet, 2, &key, "x").await?;
        assert_eq!(again.outcome, "ran", "{}", again.body);
        assert_eq!(fleet.roster_runs("x"), 1);
        Ok(())
    });

    http_client_does_not_repeat_calls => run(async {
        let mut fleet = fleet().await?;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let requests = Arc::new(AtomicU64::new(0));
        tokio::spawn(read_and_close(listener, requests.clone()));
        fleet.list.hosts.retain(|host| !host.name.starts_with("roster-"));
        fleet.list.hosts.push(sample::endpoint("closing", &address, "cluj-a", "roster"));
        fleet.publish_list();
        for node in &fleet.nodes {
            until("the list is known", || async {
                fleet.status(node).await.unwrap_or_default()["hosts_index"] == 3
            })
            .await;
        }
        let key = caller().ticket(&fleet.nodes[0].callers).await?;
        for node in 0..3 {
            let answer = confirm(&fleet, node, &key, "x").await?;
            assert_eq!(answer.outcome, "unknown", "{}", answer.body);
        }
        assert_eq!(requests.load(Ordering::SeqCst), 1, "the request should be sent once and never repeated");
        Ok(())
    });

    requests_are_served_while_a_host_is_dead => run(async {
        let mut fleet = fleet().await?;
        fleet.kill(2)?;
        for turn in 0..20 {
            let node = &fleet.nodes[turn % 2].callers;
            let chat = caller().chat(node, "recap", &format!("turn {turn}"), 3, true).await?;
            assert_eq!(chat.status, 200, "{}", chat.body);
        }
        Ok(())
    });

    requests_are_served_during_a_platform_outage_and_a_change_follows => run(async {
        let fleet = fleet().await?;
        fleet.nodes.iter().for_each(|node| node.platform.set_down(true));
        let chat = caller().chat(&fleet.nodes[0].callers, "recap", "dark", 3, true).await?;
        assert_eq!(chat.status, 200);
        fleet.platform.put("woadstage/config", &updated_document());
        assert_eq!(revision(&fleet, 0).await, 1);
        // One host reaches the platform again; the others receive the change from it.
        fleet.nodes[1].platform.set_down(false);
        for node in 0..3 {
            until("the change is in force", || async { revision(&fleet, node).await == 2 }).await;
        }
        Ok(())
    });

    stale_platform_does_not_revert_the_configuration => run(async {
        let mut fleet = fleet().await?;
        for node in &fleet.nodes[..2] {
            node.platform.set_stale(true);
        }
        fleet.platform.put("woadstage/config", &updated_document());
        for node in 0..3 {
            until("the change is in force", || async { revision(&fleet, node).await == 2 }).await;
        }
        // Start a new process on a host with a stale view of the platform.
        fleet.kill(0)?;
        fleet.run(0)?;
        fleet.wait_ready().await?;
        assert_eq!(revision(&fleet, 0).await, 2);
        Ok(())
    });

    planned_stop_under_load_completes_answers_and_keeps_tickets => run(async {
        let mut fleet = fleet().await?;
        let key = caller().ticket(&fleet.nodes[0].callers).await?;
        let mut tasks = Vec::new();
        for turn in 0..30 {
            let node = fleet.nodes[turn % 3].callers.clone();
            tasks.push(tokio::spawn(async move {
                caller().chat(&node, "recap", &format!("turn {turn}"), 200, turn % 2 == 0).await
            }));
        }
        let status = |fleet: &Fleet| {
            let node = fleet.nodes[0].operators.clone();
            async move {
                let uri = format!("http://{node}/v1/status");
                let body = caller().send("GET", &uri, &[], "").await.map(|answer| answer.body);
                let status: serde_json::Value =
                    serde_json::from_str(&body.unwrap_or_default()).unwrap_or_default();
                status["requests"].as_u64().unwrap_or(0)
            }
        };
        until("work is in progress", || async { status(&fleet).await >= 5 }).await;
        fleet.terminate(0)?;
        assert_eq!(fleet.wait_exit(0).await?, Some(0));
        for task in tasks {
            let answer = task.await??;
            assert_eq!((answer.status, answer.whole), (200, true), "{}", answer.body);
        }
        let after = confirm(&fleet, 1, &key, "x").await?;
        assert_eq!(after.outcome, "ran", "{}", after.body);
        assert_eq!(fleet.roster_runs("x"), 1);
        Ok(())
    });
}
