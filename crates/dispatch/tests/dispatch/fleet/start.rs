//! All nodes of a fleet start together without a list of endpoints.

use super::world::links::Rates;
use super::*;

/// A list of 2,998 endpoints is 1.1 MB from the platform and 132 kB from a node. Hosts have
/// links of 20 Mbit/s and the platform one of 1,000 Mbit/s.
const RATES: Rates = Rates {
    read: 1_100_000,
    list: 132_000,
    platform: 125_000_000,
    node: 2_500_000,
};

/// The time within which all nodes have a list. It takes 600 ms until 585 nodes that start
/// within 300 ms have discovered each other and one has read the list. If every node read
/// it, the platform's link would be busy for 9 ms each: 5.2 s at 585 nodes, 8.8 s at 1,000.
const LIST_WITHIN: Span = Span::from_secs(2);

/// The maximum number of reads by a data centre. Two nodes are meant to read the list, and
/// some more do before the nodes have discovered each other.
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
fn few_nodes_read_the_list_and_all_have_it_soon(#[case] nodes: u16, #[case] centres: u16) {
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
        world.links.as_ref().map(|links| (links.reads, links.given))
    );
    let reads = world.links.as_ref().map_or(0, |links| links.reads);
    assert!(reads <= MAX_READS * usize::from(centres), "{reads} reads");
}
