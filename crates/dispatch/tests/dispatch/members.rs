//! Which other nodes there are.

use std::collections::HashSet;

use rstest::rstest;
use woadstage_dispatch::edition::Edition;
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

/// The number of the data centre that all are in.
const CENTRE: u32 = 1;

const CALM: Trigger = Trigger {
    urgent: false,
    usage_high: false,
    new_documents: false,
};

const URGENT: Trigger = Trigger {
    urgent: true,
    ..CALM
};

fn members(own: u8, seeds: &[u8]) -> Members {
    let seeds: Vec<_> = seeds.iter().map(|seed| node(*seed)).collect();
    Members::new(node(own), CENTRE, &seeds, Options::default())
}

fn status(incarnation: u64, sequence: u64, members: &[u8]) -> Status {
    Status {
        incarnation,
        sequence,
        data_centre: CENTRE,
        members: members.iter().map(|one| node(*one)).collect(),
        ..Status::default()
    }
}

#[test]
fn nodes_meet_through_a_seed_that_knows_another() {
    let mut members = members(1, &[1, 2, 9]);
    assert_eq!(members.take_due(at(1), CALM), [node(2), node(9)]);
    assert_eq!(
        members.record_status(at(10), node(2), status(2, 1, &[1, 3])),
        Reception::Joined
    );
    assert!(members.take_due(at(11), CALM).contains(&node(3)));
    // An address that never answers counts for nothing.
    assert_eq!(members.reach(at(12)).nodes, 2);
    assert!(!members.reach(at(12)).alone);
}

#[test]
fn nobody_heard_means_alone() {
    let members = members(1, &[2]);
    assert!(members.reach(at(0)).alone);
    assert_eq!(members.reach(at(0)).nodes, 1);
}

#[test]
fn a_word_that_was_overtaken_or_came_twice_is_old() {
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
    // Another life counts anew.
    assert_eq!(
        members.record_status(at(3), node(2), status(6, 1, &[])),
        Reception::Joined
    );
}

#[test]
fn a_silent_node_counts_until_it_is_forgotten() {
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
fn a_silent_node_is_asked_for_a_sign_of_life() {
    let mut members = members(1, &[]);
    members.record_status(at(0), node(2), status(2, 1, &[]));
    members.take_due(at(2_000), CALM);
    assert_eq!(members.take_due(at(2_100), CALM), []);
    assert_eq!(members.take_due(at(2_500), CALM), [node(2)]);
}

#[test]
fn a_node_that_left_in_order_does_not_count_once_it_is_silent() {
    let mut members = members(1, &[]);
    let leaving = Status {
        leaving: true,
        ..status(2, 1, &[])
    };
    members.record_status(at(0), node(2), leaving);
    assert_eq!(members.reach(at(100)).nodes, 2);
    assert_eq!(members.reach(at(3_000)).nodes, 1);
}

/// The view that one node of a fleet has once it has heard all others.
fn fleet(own: u8, nodes: u8) -> Members {
    let mut members = members(own, &[]);
    for other in (1..=nodes).filter(|other| *other != own) {
        members.record_status(at(0), node(other), status(u64::from(other), 1, &[]));
    }
    members.assign_cells(at(1));
    members
}

#[test]
fn a_small_fleet_is_one_cell_and_each_reads_for_itself() {
    let members = fleet(1, 16);
    assert!(members.cell().covers_fleet);
    assert_eq!(members.cell_members(at(1)).count(), 15);
    assert_eq!(members.role(at(1)), Role::Standalone);
}

#[test]
fn a_larger_fleet_has_cells_that_all_nodes_see_alike() {
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

/// A status of the node with a number that cannot read the platform.
fn cut_off(number: u8) -> Status {
    Status {
        platform_unreachable: true,
        ..status(u64::from(number), 2, &[])
    }
}

/// Numbers of the nodes that read for others, each by its own view, where those
/// in `cut_off_nodes` say that they cannot.
fn readers(nodes: u8, cut_off_nodes: &[u8]) -> Vec<u8> {
    let mut readers = Vec::new();
    for own in 1..=nodes {
        let mut view = fleet(own, nodes);
        for other in cut_off_nodes.iter().filter(|other| **other != own) {
            view.record_status(at(2), node(*other), cut_off(*other));
        }
        if view.role(at(3)) == Role::Reader {
            readers.push(own);
        }
    }
    readers
}

#[test]
fn a_large_fleet_has_few_readers_however_many_cells() {
    assert_eq!(readers(40, &[]).len(), 2);
    assert_eq!(readers(200, &[]).len(), 2);
}

#[test]
fn others_read_where_readers_are_cut_off() {
    let first = readers(40, &[]);
    let second = readers(40, &first);
    // Those that are cut off go on trying.
    let new: Vec<u8> = second
        .iter()
        .copied()
        .filter(|one| !first.contains(one))
        .collect();
    assert_eq!(new.len(), 2);
    assert_eq!(second.len(), 4);
}

#[test]
fn a_platform_that_is_down_for_all_is_tried_by_few() {
    let all: Vec<u8> = (1..=200).collect();
    assert_eq!(
        readers(200, &all).len(),
        Options::default().reader_candidates
    );
}

#[test]
fn another_reads_when_readers_are_silent() {
    let first = readers(40, &[]);
    let second = readers(40, &first);
    let next = second.into_iter().find(|one| !first.contains(one));
    let next = next.expect("another reads");
    let mut members = fleet(next, 40);
    // Beyond the cell it takes as long as three of the statuses that come there.
    let later = at(1) + Span::from_millis(7_000);
    for other in (1..=40).filter(|other| !first.contains(other) && *other != next) {
        members.record_status(later, node(other), status(u64::from(other), 2, &[]));
    }
    assert_eq!(members.role(later), Role::Reader);
}

#[test]
fn new_documents_are_told_to_some_beyond_the_cell_at_once() {
    let mut members = fleet(1, 200);
    members.take_due(at(1), CALM);
    let quiet = members.take_due(at(2), CALM).len();
    let news = Trigger {
        new_documents: true,
        ..CALM
    };
    let told = members.take_due(at(3), news);
    assert_eq!(told.len(), quiet + Options::default().fan_out);
    let others = members.take_due(at(4), news);
    assert!(others.iter().all(|one| !told.contains(one)));
}

/// Milliseconds until all nodes of a fleet have documents that two nodes have read,
/// where each node that has them tells the nodes that are due, and each that
/// hears of them has them `taking` milliseconds later.
fn spread_of_news(nodes: u8, taking: u64) -> u64 {
    let mut views: Vec<Members> = (1..=nodes).map(|own| fleet(own, nodes)).collect();
    for view in &mut views {
        view.take_due(at(1), CALM);
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
            for told in views[one].take_due(at(now), trigger) {
                let told = usize::from(told.ip().octets()[3]) - 1;
                has_at[told].get_or_insert(now + taking);
            }
        }
        if has_at.iter().all(Option::is_some) {
            return now;
        }
    }
    20_000
}

#[test]
fn news_reaches_every_cell_within_a_second() {
    let all_have = spread_of_news(250, 60);
    assert!(all_have < 1_000, "{all_have} ms");
}

#[test]
fn what_a_node_sends_is_the_same_in_a_fleet_of_any_size() {
    for nodes in [40, 100, 250] {
        let mut members = fleet(1, nodes);
        let sent: usize = (0..2_000)
            .step_by(20)
            .map(|millis| members.take_due(at(1 + millis), URGENT).len())
            .sum();
        // Two seconds: 200 a second within the cell, 60 beyond, all others once.
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
fn a_node_that_is_ahead_is_asked() {
    let mut members = members(1, &[]);
    let said = |configuration, endpoints| Status {
        configuration,
        endpoints: edition(endpoints),
        ..status(1, 1, &[])
    };
    members.record_status(at(0), node(2), said(5, 10));
    members.record_status(at(0), node(3), said(6, 10));
    assert_eq!(
        members.newer_peer_opt(at(1), known(5, 10), 0),
        Some(node(3))
    );
    assert_eq!(members.newer_peer_opt(at(1), known(6, 10), 0), None);
    assert!(members.newer_peer_opt(at(1), known(6, 9), 0).is_some());
    // A node that is silent cannot be asked.
    let later = at(1) + Span::from_secs(5);
    assert_eq!(members.newer_peer_opt(later, known(1, 1), 0), None);
}

/// Nodes that are ahead of `own` by as many revisions as their number.
fn behind_twenty(own: u8) -> Members {
    let mut members = members(own, &[]);
    for other in 2..22 {
        let said = Status {
            endpoints: edition(100 + u64::from(other)),
            ..status(u64::from(other), 1, &[])
        };
        members.record_status(at(0), node(other), said);
    }
    members
}

#[test]
fn nodes_that_are_behind_do_not_all_ask_the_same_one() {
    let asked: HashSet<_> = (100..160)
        .filter_map(|own| behind_twenty(own).newer_peer_opt(at(1), known(0, 50), 0))
        .collect();
    assert!(asked.len() >= 4, "{asked:?}");
    // But those that are furthest ahead.
    assert!(asked.iter().all(|address| address.ip().octets()[3] >= 14));
}

#[test]
fn another_is_asked_where_one_did_not_answer() {
    let members = behind_twenty(1);
    let asked: HashSet<_> = (0..6)
        .filter_map(|attempt| members.newer_peer_opt(at(1), known(0, 50), attempt))
        .collect();
    assert!(asked.len() >= 3, "{asked:?}");
}

/// What a node that starts does about the platform, `heard` so many milliseconds after its
/// start another which has a list or none, `after` so many.
#[rstest]
#[case::nobody_yet(None, 200, Role::Follower)]
#[case::nobody_in_time(None, 400, Role::Standalone)]
#[case::it_listens(Some((50, 0)), 100, Role::Follower)]
#[case::it_is_among_the_first(Some((50, 0)), 200, Role::Reader)]
#[case::another_has_a_list(Some((50, 7)), 200, Role::Follower)]
#[case::it_does_not_come(Some((50, 7)), 1_600, Role::Standalone)]
#[case::it_was_cut_off_at_first(Some((2_000, 7)), 2_500, Role::Follower)]
fn who_reads_as_nodes_start(
    #[case] heard: Option<(u64, u64)>,
    #[case] after: u64,
    #[case] expected: Role,
) {
    let mut members = members(1, &[2]);
    let met_at = at(300);
    if let Some((millis, revision)) = heard {
        let said = Status {
            endpoints: edition(revision),
            ..status(2, 1, &[])
        };
        members.record_status(at(millis), node(2), said);
    }
    // It goes on being heard.
    if let Some((_, revision)) = heard {
        let said = Status {
            endpoints: edition(revision),
            ..status(2, 2, &[])
        };
        members.record_status(at(after), node(2), said);
    }
    assert_eq!(members.startup_role(at(after), met_at), expected);
}
