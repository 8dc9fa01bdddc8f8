//! Membership: discovery, cells, platform readers and the scheduling of statuses.

use rstest::rstest;
use woadstage_dispatch::edition::Edition;
use woadstage_dispatch::map::HashSet;
use woadstage_dispatch::member::Members;
use woadstage_dispatch::member::Options;
use woadstage_dispatch::member::Reception;
use woadstage_dispatch::member::Role;
use woadstage_dispatch::member::Trigger;
use woadstage_dispatch::message::Status;
use woadstage_dispatch::message::Versions;
use woadstage_types::unit::Span;

use crate::support::at;
use crate::support::node;

/// The number of the data centre that all nodes are in.
const DATA_CENTRE: u32 = 1;

const ROUTINE: Trigger = Trigger {
    urgent: false,
    usage_high: false,
    new_documents: false,
};

const URGENT: Trigger = Trigger {
    urgent: true,
    ..ROUTINE
};

fn members(own: u8, seeds: &[u8]) -> Members {
    let seeds: Vec<_> = seeds.iter().map(|seed| node(*seed)).collect();
    Members::new(node(own), DATA_CENTRE, &seeds, Options::default())
}

fn status(incarnation: u64, sequence: u64, members: &[u8]) -> Status {
    Status {
        incarnation,
        sequence,
        data_centre: DATA_CENTRE,
        members: members.iter().map(|one| node(*one)).collect(),
        ..Status::default()
    }
}

#[test]
fn nodes_are_discovered_through_a_seed() {
    let mut members = members(1, &[1, 2, 9]);
    assert_eq!(members.take_due(at(1), ROUTINE), [node(2), node(9)]);
    assert_eq!(
        members.record_status(at(10), node(2), status(2, 1, &[1, 3])),
        Reception::Joined
    );
    assert!(members.take_due(at(11), ROUTINE).contains(&node(3)));
    // An address that never answers is not counted.
    assert_eq!(members.reach(at(12)).nodes, 2);
    assert!(!members.reach(at(12)).isolated);
}

#[test]
fn a_restarted_node_is_answered_before_the_next_routine_status() {
    let mut members = members(1, &[]);
    members.record_status(at(0), node(2), status(5, 1, &[]));
    assert_eq!(members.take_due(at(10), ROUTINE), [node(2)]);
    members.record_status(at(20), node(2), status(6, 1, &[]));
    assert_eq!(members.take_due(at(30), ROUTINE), [node(2)]);
    members.record_status(at(40), node(2), status(6, 2, &[]));
    assert!(members.take_due(at(50), ROUTINE).is_empty());
}

/// Guards against nodes that start while their seeds are down and find only each other.
#[test]
fn seeds_that_were_never_heard_are_probed_often_after_the_start() {
    let mut members = members(1, &[9]);
    members.take_due(at(1), ROUTINE);
    members.record_status(at(10), node(2), status(5, 1, &[]));
    assert!(members.take_due(at(100), ROUTINE).contains(&node(9)));
    assert!(members.take_due(at(200), ROUTINE).contains(&node(9)));
    members.take_due(at(1_100), ROUTINE);
    assert!(!members.take_due(at(1_200), ROUTINE).contains(&node(9)));
}

#[test]
fn a_node_that_has_heard_none_is_alone() {
    let members = members(1, &[2]);
    assert!(members.reach(at(0)).isolated);
    assert_eq!(members.reach(at(0)).nodes, 1);
}

#[test]
fn reordered_and_duplicate_statuses_are_stale() {
    let mut members = members(1, &[]);
    assert_eq!(
        members.record_status(at(0), node(2), status(5, 2, &[])),
        Reception::Joined
    );
    assert_eq!(
        members.record_status(at(1), node(2), status(5, 1, &[])),
        Reception::Stale
    );
    assert_eq!(
        members.record_status(at(1), node(2), status(5, 2, &[])),
        Reception::Stale
    );
    assert_eq!(
        members.record_status(at(2), node(2), status(5, 3, &[])),
        Reception::Refreshed
    );
    // A new incarnation starts a new sequence.
    assert_eq!(
        members.record_status(at(3), node(2), status(6, 1, &[])),
        Reception::Joined
    );
}

#[test]
fn a_silent_node_counts_until_it_is_removed() {
    let mut members = members(1, &[]);
    members.record_status(at(0), node(2), status(2, 1, &[]));
    assert_eq!(members.reach(at(1_000)).silent, 0);
    let later = members.reach(at(3_000));
    assert_eq!((later.nodes, later.silent), (2, 1));
    assert_eq!(members.live(at(3_000)).count(), 0);
    members.remove_expired(at(60_000));
    assert_eq!(members.reach(at(60_000)).nodes, 1);
}

#[test]
fn a_silent_node_is_probed() {
    let mut members = members(1, &[]);
    members.record_status(at(0), node(2), status(2, 1, &[]));
    members.take_due(at(2_000), ROUTINE);
    assert_eq!(members.take_due(at(2_100), ROUTINE), []);
    assert_eq!(members.take_due(at(2_500), ROUTINE), [node(2)]);
}

#[test]
fn a_node_that_announced_leaving_does_not_count_once_silent() {
    let mut members = members(1, &[]);
    let leaving = Status {
        leaving: true,
        ..status(2, 1, &[])
    };
    members.record_status(at(0), node(2), leaving);
    assert_eq!(members.reach(at(100)).nodes, 2);
    assert_eq!(members.reach(at(3_000)).nodes, 1);
}

/// Returns the membership of one node that has heard all others.
fn fleet(own: u8, nodes: u8) -> Members {
    let mut members = members(own, &[]);
    for other in (1..=nodes).filter(|other| *other != own) {
        members.record_status(at(0), node(other), status(u64::from(other), 1, &[]));
    }
    members.assign_cells(at(1));
    members
}

#[test]
fn a_small_fleet_is_one_cell_and_every_node_is_standalone() {
    let members = fleet(1, 16);
    assert!(members.cell().covers_fleet);
    assert_eq!(members.cell_members(at(1)).count(), 15);
    assert_eq!(members.role(at(1)), Role::Standalone);
}

#[test]
fn nodes_of_a_large_fleet_agree_on_cells() {
    let views: Vec<Members> = (1..=40).map(|own| fleet(own, 40)).collect();
    for (own, view) in (1u8..).zip(&views) {
        let cell = view.cell();
        assert_eq!((cell.covers_fleet, cell.count), (false, 2));
        let near: Vec<u8> = view
            .cell_members(at(1))
            .map(|(address, _)| address.ip().octets()[3])
            .collect();
        assert_eq!(near.len(), 19);
        for other in near {
            let seen = &views[usize::from(other) - 1];
            assert_eq!(seen.cell(), cell);
            assert!(
                seen.cell_members(at(1))
                    .any(|(address, _)| *address == node(own))
            );
        }
    }
}

/// Returns a status of a node that cannot read the platform.
fn unreachable_status(number: u8) -> Status {
    Status {
        platform_unreachable: true,
        ..status(u64::from(number), 2, &[])
    }
}

/// Returns the nodes that read the platform by their own view, where `unreachable_nodes` report
/// that they cannot reach it.
fn readers(nodes: u8, unreachable_nodes: &[u8]) -> Vec<u8> {
    let mut readers = Vec::new();
    for own in 1..=nodes {
        let mut view = fleet(own, nodes);
        for other in unreachable_nodes.iter().filter(|other| **other != own) {
            view.record_status(at(2), node(*other), unreachable_status(*other));
        }
        if view.role(at(3)) == Role::Reader {
            readers.push(own);
        }
    }
    readers
}

#[test]
fn the_number_of_readers_does_not_grow_with_the_fleet() {
    assert_eq!(readers(40, &[]).len(), 2);
    assert_eq!(readers(200, &[]).len(), 2);
}

#[test]
fn other_nodes_read_when_readers_cannot_reach_the_platform() {
    let first = readers(40, &[]);
    let second = readers(40, &first);
    // The first readers keep trying.
    let new: Vec<u8> = second
        .iter()
        .copied()
        .filter(|one| !first.contains(one))
        .collect();
    assert_eq!(new.len(), 2);
    assert_eq!(second.len(), 4);
}

#[test]
fn few_nodes_try_a_platform_that_is_down() {
    let all: Vec<u8> = (1..=200).collect();
    assert_eq!(
        readers(200, &all).len(),
        Options::default().reader_candidates
    );
}

#[test]
fn another_node_reads_when_readers_are_silent() {
    let first = readers(40, &[]);
    let second = readers(40, &first);
    let next = second.into_iter().find(|one| !first.contains(one));
    let next = next.expect("another reads");
    let mut members = fleet(next, 40);
    // Long enough for the first readers to be silent: beyond the cell, the timeout is three
    // status intervals.
    let later = at(1) + Span::from_millis(7_000);
    for other in (1..=40).filter(|other| !first.contains(other) && *other != next) {
        members.record_status(later, node(other), status(u64::from(other), 2, &[]));
    }
    assert_eq!(members.role(later), Role::Reader);
}

#[test]
fn new_documents_are_announced_beyond_the_cell_at_once() {
    let mut members = fleet(1, 200);
    members.take_due(at(1), ROUTINE);
    let quiet = members.take_due(at(2), ROUTINE).len();
    let news = Trigger {
        new_documents: true,
        ..ROUTINE
    };
    let due = members.take_due(at(3), news);
    assert_eq!(due.len(), quiet + Options::default().fan_out);
    let others = members.take_due(at(4), news);
    assert!(others.iter().all(|one| !due.contains(one)));
}

/// Returns the milliseconds until all nodes have the documents that two nodes read first. Each
/// node that has them sends statuses to the nodes that are due, and each recipient has them
/// `transfer_ms` later.
fn dissemination_time(nodes: u8, transfer_ms: u64) -> u64 {
    let mut views: Vec<Members> = (1..=nodes).map(|own| fleet(own, nodes)).collect();
    for view in &mut views {
        view.take_due(at(1), ROUTINE);
    }
    let mut has_at: Vec<Option<u64>> = vec![None; usize::from(nodes)];
    has_at[0] = Some(2);
    has_at[1] = Some(2);
    for now in (2..20_000).step_by(20) {
        for one in 0..views.len() {
            let Some(since) = has_at[one].filter(|since| *since <= now) else {
                continue;
            };
            let trigger = Trigger {
                urgent: true,
                usage_high: false,
                new_documents: now < since + 20,
            };
            for recipient in views[one].take_due(at(now), trigger) {
                let recipient = usize::from(recipient.ip().octets()[3]) - 1;
                has_at[recipient].get_or_insert(now + transfer_ms);
            }
        }
        if has_at.iter().all(Option::is_some) {
            return now;
        }
    }
    20_000
}

#[test]
fn new_documents_reach_every_cell_within_a_second() {
    let all_have = dissemination_time(250, 60);
    assert!(all_have < 1_000, "{all_have} ms");
}

#[test]
fn the_rate_of_statuses_does_not_grow_with_the_fleet() {
    for nodes in [40, 100, 250] {
        let mut members = fleet(1, nodes);
        let sent: usize = (0..2_000)
            .step_by(20)
            .map(|millis| members.take_due(at(1 + millis), URGENT).len())
            .sum();
        // In two seconds: 200 per second within the cell, 60 per second beyond it, and one
        // status to every node.
        assert!(
            sent <= 2 * (200 + 60) + usize::from(nodes),
            "{sent} of {nodes}"
        );
    }
}

fn edition(revision: u64) -> Edition {
    Edition {
        revision,
        settled: true,
        ..Edition::default()
    }
}

fn known(configuration: u64, endpoints: u64) -> Versions {
    Versions {
        configuration,
        endpoints: edition(endpoints),
    }
}

#[test]
fn a_node_with_newer_documents_is_selected() {
    let mut members = members(1, &[]);
    let reported = |configuration, endpoints| Status {
        configuration,
        endpoints: edition(endpoints),
        ..status(1, 1, &[])
    };
    members.record_status(at(0), node(2), reported(5, 10));
    members.record_status(at(0), node(3), reported(6, 10));
    assert_eq!(
        members.newer_peer_opt(at(1), known(5, 10), 0),
        Some(node(3))
    );
    assert_eq!(members.newer_peer_opt(at(1), known(6, 10), 0), None);
    assert!(members.newer_peer_opt(at(1), known(6, 9), 0).is_some());
    // A silent node is not selected.
    let later = at(1) + Span::from_secs(5);
    assert_eq!(members.newer_peer_opt(later, known(1, 1), 0), None);
}

/// Returns the view of a node that has heard twenty others with newer lists; a higher number
/// means a newer list.
fn behind_twenty_nodes(own: u8) -> Members {
    let mut members = members(own, &[]);
    for other in 2..22 {
        let reported = Status {
            endpoints: edition(100 + u64::from(other)),
            ..status(u64::from(other), 1, &[])
        };
        members.record_status(at(0), node(other), reported);
    }
    members
}

#[test]
fn nodes_that_are_behind_spread_over_several_sources() {
    let asked: HashSet<_> = (100..160)
        .filter_map(|own| behind_twenty_nodes(own).newer_peer_opt(at(1), known(0, 50), 0))
        .collect();
    assert!(asked.len() >= 4, "{asked:?}");
    // Only the most up-to-date nodes are asked.
    assert!(asked.iter().all(|address| address.ip().octets()[3] >= 14));
}

#[test]
fn each_attempt_may_select_another_node() {
    let members = behind_twenty_nodes(1);
    let asked: HashSet<_> = (0..6)
        .filter_map(|attempt| members.newer_peer_opt(at(1), known(0, 50), attempt))
        .collect();
    assert!(asked.len() >= 3, "{asked:?}");
}

/// The role of a node `after` milliseconds from its start, where it hears another node, if
/// `heard` is given, at a time in milliseconds and with a revision of the list (0 for none).
#[rstest]
#[case::none_heard_yet(None, 200, Role::Follower)]
#[case::none_heard_in_time(None, 400, Role::Standalone)]
#[case::discovering(Some((50, 0)), 100, Role::Follower)]
#[case::among_the_first(Some((50, 0)), 200, Role::Reader)]
#[case::another_has_the_list(Some((50, 7)), 200, Role::Follower)]
#[case::list_overdue(Some((50, 7)), 1_600, Role::Standalone)]
#[case::partitioned_at_start(Some((2_000, 7)), 2_500, Role::Follower)]
fn roles_of_starting_nodes(
    #[case] heard: Option<(u64, u64)>,
    #[case] after: u64,
    #[case] expected: Role,
) {
    let mut members = members(1, &[2]);
    let met_at = at(300);
    if let Some((millis, revision)) = heard {
        let reported = Status {
            endpoints: edition(revision),
            ..status(2, 1, &[])
        };
        members.record_status(at(millis), node(2), reported);
    }
    // The other node is still live at the end.
    if let Some((_, revision)) = heard {
        let reported = Status {
            endpoints: edition(revision),
            ..status(2, 2, &[])
        };
        members.record_status(at(after), node(2), reported);
    }
    assert_eq!(members.startup_role(at(after), met_at), expected);
}
