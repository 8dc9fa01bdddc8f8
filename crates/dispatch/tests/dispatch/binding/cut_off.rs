//! A node that is cut off from the other nodes while endpoints of a new version join.

use rstest::rstest;
use woadstage_dispatch::binding::Key;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;

use super::engine;
use super::fleet;
use super::fleet::Fleet;
use crate::support::list;
use crate::support::node;

/// The node that is cut off.
const CUT_OFF: u8 = 5;

/// From when on a node knows that one version alone has served.
const WATCHED: Span = Span::from_secs(125);

fn engines(versions: &[&str]) -> Vec<Endpoint> {
    let named = |number: usize, software: &str| {
        engine(
            &format!("e-{software}-{number}"),
            software,
            fleet::centre(number),
        )
    };
    let engines = versions.iter().enumerate();
    let engines = engines.map(|(number, software)| named(number, software));
    engines.collect()
}

/// How a cut off node reaches the platform.
#[derive(Debug, Clone, Copy)]
enum Platform {
    /// It does if it asks, and relies on other nodes until then.
    Followed,
    /// It does not, and has not noticed.
    Silent,
    /// It does not.
    Unreachable,
}

/// Guards against streams that a cut off node takes up at the version that it knows, while others
/// already use the next.
#[rstest]
fn a_cut_off_node_does_not_guess(
    #[values(5, 24)] nodes: u8,
    #[values(0, 100, 500, 1_000, 1_500, 2_500, 5_000, 45_000)] cut_for_ms: u64,
    #[values(Platform::Followed, Platform::Silent, Platform::Unreachable)] platform: Platform,
) {
    let mut fleet = Fleet::with_list(nodes, &list(1, &engines(&["1"; 6])));
    fleet.run_for(WATCHED);
    fleet.cut.insert(node(CUT_OFF));
    if !matches!(platform, Platform::Followed) {
        fleet.without_platform.insert(node(CUT_OFF));
    }
    let now = fleet.now;
    fleet.published = list(2, &engines(&["1", "1", "1", "2", "2", "2"]));
    for (address, dispatcher) in &mut fleet.nodes {
        if *address != node(CUT_OFF) {
            dispatcher.set_endpoints(now, fleet.published.clone());
        } else if matches!(platform, Platform::Unreachable) {
            dispatcher.set_platform_unreachable(true);
        }
    }
    fleet.run_for(Span::from_millis(cut_for_ms));
    let begun = fleet.begin_all(1, 12);
    assert!(
        begun
            .iter()
            .any(|one| one.endpoint.software == Some(id::Software::new("2")))
    );
    for one in begun {
        let taken_up = fleet.take_up(CUT_OFF, one.key);
        let software = one.endpoint.software.expect("a version");
        assert!(
            taken_up == Err(Code::StreamUnknown) || taken_up == Ok(software.clone()),
            "began at {software}: {taken_up:?}"
        );
    }
}

/// Guards against streams that nobody takes up since a node that died is asked about them.
#[rstest]
fn streams_of_a_version_that_serves_alone_go_on_after_their_node_died(
    #[values(5, 24)] nodes: u8,
    #[values(0, 100, 1_000, 3_000)] dead_for_ms: u64,
) {
    let mut fleet = Fleet::with_list(nodes, &list(1, &engines(&["1"; 6])));
    fleet.run_for(WATCHED);
    let keys = (0..12).map(Key);
    let keys: Vec<Key> = keys.collect();
    for key in &keys {
        let (id, _) = fleet.begin(1, *key);
        fleet.end(1, id);
    }
    fleet.nodes.remove(&node(1));
    fleet.run_for(Span::from_millis(dead_for_ms));
    for (key, number) in keys.into_iter().zip((2..=nodes).cycle()) {
        assert_eq!(fleet.take_up(number, key), Ok(id::Software::new("1")));
    }
}
