//! All nodes start together and know nothing.

use super::world::links::Rates;
use super::*;

/// 2,998 endpoints: 1.1 MB from the platform, 132 kB from a node; hosts of 20 Mbit/s
/// before a platform of 1,000 Mbit/s.
const RATES: Rates = Rates {
    read: 1_100_000,
    list: 132_000,
    platform: 125_000_000,
    node: 2_500_000,
};

/// All nodes have a list after this time, of which 600 ms go by until 585 nodes that
/// start within 300 ms have met and one has read. Each read alone they would need the
/// platform's link for 9 ms each: 5.2 s at 585 nodes and 8.8 s at 1,000.
const LIST_WITHIN: Span = Span::from_secs(2);

/// Reads of one data centre: two are meant to, and some more do before they have met.
const MAX_READS: usize = 8;

#[rstest]
#[case::nodes_3(1, 3)]
#[case::nodes_7(7, 1)]
#[case::nodes_16(4, 4)]
#[case::nodes_30(10, 3)]
#[case::nodes_72(18, 4)]
#[case::nodes_100(20, 5)]
#[case::nodes_300(60, 5)]
#[case::nodes_414(46, 9)]
#[case::nodes_585(117, 5)]
#[case::nodes_1000(200, 5)]
fn few_read_and_all_have_a_list_soon(#[case] nodes: u16, #[case] centres: u16) {
    let shape = Shape {
        nodes,
        centres,
        ..shape()
    };
    let mut world = World::start_together(shape, RATES);
    let all = usize::from(nodes * centres);
    let have_all = |world: &World| {
        let mut nodes = world.nodes.values();
        world.nodes.len() == all && nodes.all(|node| node.edition().revision > 0)
    };
    let from = world.now;
    while !have_all(&world) {
        world.run_for(Span::from_millis(20));
        assert!(world.now.since(from) <= LIST_WITHIN, "{:?}", world.links);
    }
    eprintln!(
        "{all}: {} {:?}",
        world.now.since(from),
        world.links.as_ref().map(|l| (l.reads, l.given))
    );
    let reads = world.links.as_ref().map_or(0, |links| links.reads);
    assert!(reads <= MAX_READS * usize::from(centres), "{reads} reads");
}
