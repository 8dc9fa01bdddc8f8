//! Which other nodes there are.

use std::collections::HashSet;

use woadstage_dispatch::endpoint::Edition;
use woadstage_dispatch::member::Members;
use woadstage_dispatch::member::News;
use woadstage_dispatch::member::Options;
use woadstage_dispatch::member::Reading;
use woadstage_dispatch::message::Known;
use woadstage_dispatch::message::Status;
use woadstage_types::unit::Span;

use crate::support::at;
use crate::support::node;

/// The number of the data centre that all are in.
const CENTRE: u32 = 1;

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
    assert_eq!(members.due(at(1), false, false), [node(2), node(9)]);
    assert_eq!(
        members.hear(at(10), node(2), status(2, 1, &[1, 3])),
        News::Joined
    );
    assert!(members.due(at(11), false, false).contains(&node(3)));
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
        members.hear(at(0), node(2), status(5, 2, &[])),
        News::Joined
    );
    assert_eq!(members.hear(at(1), node(2), status(5, 1, &[])), News::Old);
    assert_eq!(members.hear(at(1), node(2), status(5, 2, &[])), News::Old);
    assert_eq!(members.hear(at(2), node(2), status(5, 3, &[])), News::Known);
    // Another life counts anew.
    assert_eq!(
        members.hear(at(3), node(2), status(6, 1, &[])),
        News::Joined
    );
}

#[test]
fn a_silent_node_counts_until_it_is_forgotten() {
    let mut members = members(1, &[]);
    members.hear(at(0), node(2), status(2, 1, &[]));
    assert_eq!(members.reach(at(1_000)).silent, 0);
    let later = members.reach(at(3_000));
    assert_eq!((later.nodes, later.silent), (2, 1));
    assert_eq!(members.fresh(at(3_000)).count(), 0);
    members.forget(at(60_000));
    assert_eq!(members.reach(at(60_000)).nodes, 1);
}

#[test]
fn a_silent_node_is_asked_for_a_sign_of_life() {
    let mut members = members(1, &[]);
    members.hear(at(0), node(2), status(2, 1, &[]));
    members.due(at(2_000), false, false);
    assert_eq!(members.due(at(2_100), false, false), []);
    assert_eq!(members.due(at(2_500), false, false), [node(2)]);
}

#[test]
fn a_node_that_left_in_order_does_not_count_once_it_is_silent() {
    let mut members = members(1, &[]);
    let leaving = Status {
        leaving: true,
        ..status(2, 1, &[])
    };
    members.hear(at(0), node(2), leaving);
    assert_eq!(members.reach(at(100)).nodes, 2);
    assert_eq!(members.reach(at(3_000)).nodes, 1);
}

/// The view that one node of a fleet has once it has heard all others.
fn fleet(own: u8, nodes: u8) -> Members {
    let mut members = members(own, &[]);
    for other in (1..=nodes).filter(|other| *other != own) {
        members.hear(at(0), node(other), status(u64::from(other), 1, &[]));
    }
    members.arrange(at(1));
    members
}

#[test]
fn a_small_fleet_is_one_cell_and_each_reads_for_itself() {
    let members = fleet(1, 16);
    assert!(members.cell().whole);
    assert_eq!(members.near(at(1)).count(), 15);
    assert_eq!(members.reading(at(1)), Reading::Alone);
}

#[test]
fn a_larger_fleet_has_cells_that_all_nodes_see_alike() {
    let views: Vec<Members> = (1..=40).map(|own| fleet(own, 40)).collect();
    for (own, view) in (1u8..).zip(&views) {
        let cell = view.cell();
        assert_eq!((cell.whole, cell.count), (false, 2));
        let near: Vec<u8> = view
            .near(at(1))
            .map(|(address, _)| address.ip().octets()[3])
            .collect();
        assert_eq!(near.len(), 19);
        for other in near {
            let seen = &views[usize::from(other) - 1];
            assert_eq!(seen.cell(), cell);
            assert!(seen.near(at(1)).any(|(address, _)| *address == node(own)));
        }
    }
    let readers = views
        .iter()
        .filter(|view| view.reading(at(1)) == Reading::ForOthers)
        .count();
    assert_eq!(readers, 6);
}

#[test]
fn another_reads_when_a_reader_is_silent_or_cut_off() {
    let own = (1..=40).find(|own| fleet(*own, 40).reading(at(1)) == Reading::Resting);
    let own = own.expect("most of them rest");
    let mut members = fleet(own, 40);
    let near: Vec<_> = members.near(at(1)).map(|(address, _)| *address).collect();
    for address in &near {
        let cut_off = Status {
            cut_off: true,
            ..status(9, 2, &[])
        };
        members.hear(at(2), *address, cut_off);
    }
    assert_eq!(members.reading(at(2)), Reading::ForOthers);
    let silent = fleet(own, 40);
    assert_eq!(silent.reading(at(1_400)), Reading::ForOthers);
}

#[test]
fn what_a_node_sends_is_the_same_in_a_fleet_of_any_size() {
    for nodes in [40, 100, 250] {
        let mut members = fleet(1, nodes);
        let sent: usize = (0..2_000)
            .step_by(20)
            .map(|millis| members.due(at(1 + millis), true, false).len())
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
    }
}

fn known(configuration: u64, endpoints: u64) -> Known {
    Known {
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
    members.hear(at(0), node(2), said(5, 10));
    members.hear(at(0), node(3), said(6, 10));
    assert_eq!(members.ahead_opt(at(1), known(5, 10), 0), Some(node(3)));
    assert_eq!(members.ahead_opt(at(1), known(6, 10), 0), None);
    assert!(members.ahead_opt(at(1), known(6, 9), 0).is_some());
    // A node that is silent cannot be asked.
    let later = at(1) + Span::from_secs(5);
    assert_eq!(members.ahead_opt(later, known(1, 1), 0), None);
}

/// Nodes that are ahead of `own` by as many revisions as their number.
fn behind_twenty(own: u8) -> Members {
    let mut members = members(own, &[]);
    for other in 2..22 {
        let said = Status {
            endpoints: edition(100 + u64::from(other)),
            ..status(u64::from(other), 1, &[])
        };
        members.hear(at(0), node(other), said);
    }
    members
}

#[test]
fn nodes_that_are_behind_do_not_all_ask_the_same_one() {
    let asked: HashSet<_> = (100..160)
        .filter_map(|own| behind_twenty(own).ahead_opt(at(1), known(0, 50), 0))
        .collect();
    assert!(asked.len() >= 4, "{asked:?}");
    // But those that are furthest ahead.
    assert!(asked.iter().all(|address| address.ip().octets()[3] >= 14));
}

#[test]
fn another_is_asked_where_one_did_not_answer() {
    let members = behind_twenty(1);
    let asked: HashSet<_> = (0..6)
        .filter_map(|attempt| members.ahead_opt(at(1), known(0, 50), attempt))
        .collect();
    assert!(asked.len() >= 3, "{asked:?}");
}
