//! Applies configurations and lists of endpoints, and logs which came into force.

use std::net::SocketAddrV4;
use std::sync::Arc;

use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::parts::Manifest;
use woadstage_types::unit::Span;

use crate::active_configuration::ActiveConfiguration;
use crate::active_configuration::Origin;
use crate::clock::to_span;
use crate::event::Event;
use crate::serve::record;
use crate::shell::Shell;
use crate::source::Answer;

/// The source name in logs of a list of endpoints that this node read from the platform.
pub const PLATFORM_SOURCE: &str = "platform";

/// Applies a configuration that this node read if it is newer than the one in force.
pub fn set_configuration(shell: &Shell, answer: Answer, configuration: Arc<Configuration>) {
    let before = shell.query(|dispatcher, _| dispatcher.configuration_version());
    let is_applied =
        shell.command(|dispatcher, now| dispatcher.set_configuration(now, configuration));
    if is_applied {
        let delay = to_span(answer.received_at.elapsed());
        shell
            .metrics
            .record_configuration_applied(answer.call.as_str(), delay);
        record_configuration(shell, Origin::Platform(answer), before);
    }
}

/// Applies a configuration whose missing parts another node transferred, if it is newer than the
/// one in force and complete.
pub fn receive_manifest(shell: &Shell, from: SocketAddrV4, manifest: &Manifest) {
    let before = shell.query(|dispatcher, _| dispatcher.configuration_version());
    if shell.command(|dispatcher, now| dispatcher.receive_manifest(now, manifest)) {
        record_configuration(shell, Origin::Peer(from), before);
    }
}

/// Applies a list of endpoints if it is newer than the one in force.
pub fn set_endpoints(shell: &Shell, from: &str, list: Arc<List>) {
    let before = shell.query(|dispatcher, _| dispatcher.edition());
    shell.command(|dispatcher, now| dispatcher.set_endpoints(now, list));
    let list = shell.query(|dispatcher, _| dispatcher.endpoints().clone());
    if list.edition() == before {
        return;
    }
    let leaving = list
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.leaving)
        .count();
    let cold = list.endpoints.iter();
    let cold = cold
        .filter(|endpoint| endpoint.cold_for > Span::ZERO)
        .count();
    let evacuated: Vec<&str> = list
        .evacuated
        .iter()
        .map(|data_centre| data_centre.as_str())
        .collect();
    let kept = shell.query(|dispatcher, _| record::join_names(dispatcher.kept_endpoints()));
    shell.metrics.record_state_change("endpoints");
    shell.log(&Event::Endpoints {
        era: list.era.0,
        revision: list.revision,
        settled: list.settled,
        kept: &kept,
        ready: list.endpoints.len() - leaving,
        leaving,
        cold,
        evacuated: &evacuated.join(","),
        from,
    });
}

/// Records and logs the configuration that has come into force and its origin.
fn record_configuration(shell: &Shell, origin: Origin, before: u64) {
    let Some(table) = shell.query(|dispatcher, _| dispatcher.table().cloned()) else {
        return;
    };
    let active_configuration = ActiveConfiguration {
        version: table.configuration().version,
        digest: table.to_digest(),
        since: shell.now(),
        origin,
    };
    shell.active_configuration.set(Some(active_configuration));
    let answer = origin.answer_opt();
    shell.metrics.record_state_change("configuration");
    shell.log(&Event::Configuration {
        version: active_configuration.version,
        before,
        digest: &active_configuration.digest.to_string(),
        routes: table.configuration().routes.len(),
        from: &origin.to_source_name(),
        way: origin.method(),
        revision: answer.map_or(0, |answer| answer.revision),
        at: answer.map_or(0, |answer| answer.answer_revision),
    });
}
