//! Brings documents of the platform into force, and logs what came into force.

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
use crate::shell::Shell;
use crate::source::Answer;

/// Where a list of endpoints came from when this node read it itself.
pub const PLATFORM: &str = "platform";

/// Takes a configuration that this node read, where it is newer than the one in force.
pub fn set_configuration(shell: &Shell, answer: Answer, configuration: Arc<Configuration>) {
    let before = shell.query(|dispatcher, _| dispatcher.configuration_version());
    let taken = shell.command(|dispatcher, now| dispatcher.set_configuration(now, configuration));
    if taken {
        let after = to_span(answer.received_at.elapsed());
        shell.metrics.applied(answer.call.as_str(), after);
        note_configuration(shell, Origin::Platform(answer), before);
    }
}

/// Takes a configuration of which another node gave the parts that were
/// missing, where it is newer and all of it is there.
pub fn receive_manifest(shell: &Shell, from: SocketAddrV4, head: &Manifest) {
    let before = shell.query(|dispatcher, _| dispatcher.configuration_version());
    if shell.command(|dispatcher, now| dispatcher.receive_manifest(now, head)) {
        note_configuration(shell, Origin::Peer(from), before);
    }
}

/// Takes a list of endpoints, where it is newer than the one in force.
pub fn set_endpoints(shell: &Shell, from: &str, list: Arc<List>) {
    let before = shell.query(|dispatcher, _| dispatcher.edition());
    shell.command(|dispatcher, now| dispatcher.set_endpoints(now, list));
    let list = shell.query(|dispatcher, _| dispatcher.endpoints().clone());
    if list.edition() == before {
        return;
    }
    let leaving = list.endpoints.iter().filter(|one| one.leaving).count();
    let cold = list.endpoints.iter();
    let cold = cold.filter(|one| one.cold_for > Span::ZERO).count();
    let evacuated: Vec<&str> = list.evacuated.iter().map(|one| one.as_str()).collect();
    shell.metrics.change("endpoints");
    shell.log(&Event::Endpoints {
        era: list.era.0,
        revision: list.revision,
        ready: list.endpoints.len() - leaving,
        leaving,
        cold,
        evacuated: &evacuated.join(","),
        from,
    });
}

/// Notes and logs how the configuration came that is in force now.
fn note_configuration(shell: &Shell, origin: Origin, before: u64) {
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
    shell.metrics.change("configuration");
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
