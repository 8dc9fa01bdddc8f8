//! Kills, freezes, platform outages and planned stops over real processes.

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

async fn confirm(fleet: &Fleet, node: usize, key: &str, what: &str) -> anyhow::Result<Answer> {
    caller()
        .confirm(&fleet.nodes[node].callers, "shift-confirmation", key, what)
        .await
}

async fn revision(fleet: &Fleet, node: usize) -> u64 {
    let status = fleet.status(&fleet.nodes[node]).await.unwrap_or_default();
    status["revision"].as_u64().unwrap_or(0)
}

fn slow_services(fleet: &Fleet, delay_ms: u64) {
    for served in &fleet.roster {
        served.set(woadstage_standin::http::service::Control {
            delay_ms,
            ..Default::default()
        });
    }
}

/// Reads what comes on each connection and closes it without an answer.
async fn read_and_close(listener: TcpListener, requests: Arc<AtomicU64>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut bytes = [0; 4_096];
        let read = stream.read(&mut bytes).await.unwrap_or(0);
        // Reports of load are read there too; they are not what is counted.
        if bytes[..read].starts_with(b"POST") {
            requests.fetch_add(1, Ordering::SeqCst);
        }
    }
}

fn second_document() -> String {
    let intent = "[[customers]]\nname = \"customer-5\"\nlimit = \"9/s\"\n";
    plan::build(&sample::document(), intent)
        .expect("a plan")
        .document
}

cases! {
    the_host_of_a_ticket_is_killed_while_it_runs => run(async {
        let mut fleet = fleet().await?;
        slow_services(&fleet, 1_000);
        let key = caller().ticket(&fleet.nodes[0].callers).await?;
        let node = fleet.nodes[1].callers.clone();
        let with = key.clone();
        let first = tokio::spawn(async move {
            caller().confirm(&node, "shift-confirmation", &with, "x").await
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

    the_host_of_a_ticket_is_frozen_and_wakes_late => run(async {
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

    no_library_repeats_a_call_by_itself => run(async {
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
        assert_eq!(requests.load(Ordering::SeqCst), 1, "one was written, and never again");
        Ok(())
    });

    requests_go_on_while_a_host_is_dead => run(async {
        let mut fleet = fleet().await?;
        fleet.kill(2)?;
        for turn in 0..20 {
            let node = &fleet.nodes[turn % 2].callers;
            let chat = caller().chat(node, "recap", &format!("turn {turn}"), 3, true).await?;
            assert_eq!(chat.status, 200, "{}", chat.body);
        }
        Ok(())
    });

    the_platform_is_down_and_work_goes_on_and_a_change_comes_after => run(async {
        let fleet = fleet().await?;
        fleet.nodes.iter().for_each(|node| node.platform.set_down(true));
        let chat = caller().chat(&fleet.nodes[0].callers, "recap", "dark", 3, true).await?;
        assert_eq!(chat.status, 200);
        fleet.platform.put("woadstage/config", &second_document());
        assert_eq!(revision(&fleet, 0).await, 1);
        // One host sees the platform again; the others hear of it from that one.
        fleet.nodes[1].platform.set_down(false);
        for node in 0..3 {
            until("the change is in force", || async { revision(&fleet, node).await == 2 }).await;
        }
        Ok(())
    });

    a_stale_platform_brings_nothing_back => run(async {
        let mut fleet = fleet().await?;
        for node in &fleet.nodes[..2] {
            node.platform.set_stale(true);
        }
        fleet.platform.put("woadstage/config", &second_document());
        for node in 0..3 {
            until("the change is in force", || async { revision(&fleet, node).await == 2 }).await;
        }
        // A new process on a host with a stale view.
        fleet.kill(0)?;
        fleet.run(0)?;
        fleet.wait_ready().await?;
        assert_eq!(revision(&fleet, 0).await, 2);
        Ok(())
    });

    a_planned_stop_under_load_cuts_nothing_and_its_tickets_live_on => run(async {
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
