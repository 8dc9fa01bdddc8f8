//! Brings documents of the platform into force, and logs what came into force.

use std::sync::Arc;

use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::parts::Head;
use woadstage_types::unit::Span;

use crate::event::Event;
use crate::shell::Shell;

/// Where a document came from when this node read it itself.
pub const PLATFORM: &str = "platform";

/// Takes a configuration, where it is newer than the one in force.
pub fn set_configuration(shell: &Shell, from: &str, configuration: Arc<Configuration>) {
    let before = shell.query(|dispatcher, _| dispatcher.configuration_version());
    shell.command(|dispatcher, now| dispatcher.set_configuration(now, configuration));
    note_configuration(shell, from, before);
}

/// Takes a configuration of which another node gave the parts that were
/// missing, where it is newer and all of it is there.
pub fn take_head(shell: &Shell, from: &str, head: &Head) {
    let before = shell.query(|dispatcher, _| dispatcher.configuration_version());
    shell.command(|dispatcher, now| dispatcher.take_head(now, head));
    note_configuration(shell, from, before);
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

fn note_configuration(shell: &Shell, from: &str, before: u64) {
    let (version, routes) = shell.query(|dispatcher, _| {
        let routes = dispatcher.configuration().map_or(0, |one| one.routes.len());
        (dispatcher.configuration_version(), routes)
    });
    if version == before {
        return;
    }
    shell.metrics.change("configuration");
    shell.log(&Event::Configuration {
        version,
        before,
        routes,
        from,
    });
}
