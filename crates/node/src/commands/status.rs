//! `woadstage status`: prints a node's status.

use std::io::Write;
use std::net::SocketAddr;

use woadstage_core::node::query::Status;

use super::fetch;

/// Queries a node and prints its status.
pub async fn run(node: SocketAddr, json: bool, out: &mut impl Write) -> anyhow::Result<()> {
    let status: Status = fetch::ask(node, "/v1/status", None, out).await?;
    if json {
        writeln!(out, "{}", serde_json::to_string(&status)?)?;
        return Ok(());
    }
    let state = match (status.stopping, status.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    writeln!(
        out,
        "host {} ({state}), incarnation {}",
        status.host, status.incarnation
    )?;
    writeln!(
        out,
        "configuration revision {}, digest {}",
        status.revision, status.digest
    )?;
    let watches = if status.watcher {
        "read here"
    } else {
        "read by other nodes"
    };
    writeln!(
        out,
        "host list index {}; the platform is {watches}",
        status.hosts_index
    )?;
    writeln!(out, "requests in progress {}", status.requests)?;
    writeln!(
        out,
        "keys in progress {}, remembered {}",
        status.keys.0, status.keys.1
    )?;
    for peer in &status.peers {
        let state = match (peer.reachable, peer.leaving) {
            (false, _) => "not reachable",
            (true, true) => "leaving",
            (true, false) => "live",
        };
        writeln!(
            out,
            "peer {}: {state}, revision {}",
            peer.host, peer.revision
        )?;
    }
    for pool in &status.pools {
        writeln!(out, "pool {}: {} running", pool.target, pool.running)?;
        for (tier, count) in &pool.waiting {
            let name = status
                .tiers
                .get(usize::from(*tier))
                .map_or("?", String::as_str);
            writeln!(out, "  tier {name}: {count} waiting")?;
        }
        for endpoint in &pool.endpoints {
            let takes = if endpoint.takes_work {
                "takes work"
            } else {
                "takes no work"
            };
            writeln!(
                out,
                "  endpoint {}: {takes}, {} running, {} of others, {} prompt tokens/s, {} us a step",
                endpoint.name,
                endpoint.running,
                endpoint.extra,
                endpoint.prefill_per_second,
                endpoint.step_us
            )?;
        }
    }
    Ok(())
}
