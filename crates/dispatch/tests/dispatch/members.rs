//! Which other nodes there are.

use woadstage_dispatch::member::Members;
use woadstage_dispatch::member::News;
use woadstage_dispatch::member::Options;
use woadstage_dispatch::message::Status;
use woadstage_types::unit::Span;

use crate::support::at;
use crate::support::node;

fn members(own: u8, seeds: &[u8]) -> Members {
    let seeds: Vec<_> = seeds.iter().map(|seed| node(*seed)).collect();
    Members::new(node(own), &seeds, Options::default())
}

fn status(incarnation: u64, sequence: u64, members: &[u8]) -> Status {
    Status {
        incarnation,
        sequence,
        members: members.iter().map(|one| node(*one)).collect(),
        ..Status::default()
    }
}

#[test]
fn nodes_meet_through_a_seed_that_knows_another() {
    let mut members = members(1, &[1, 2, 9]);
    assert_eq!(members.due(at(1), false), [node(2), node(9)]);
    assert_eq!(
        members.hear(at(10), node(2), status(2, 1, &[1, 3])),
        News::Joined
    );
    assert!(members.due(at(11), false).contains(&node(3)));
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
    members.due(at(2_000), false);
    assert_eq!(members.due(at(2_100), false), []);
    assert_eq!(members.due(at(2_500), false), [node(2)]);
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

#[test]
fn statuses_grow_rarer_as_the_fleet_grows() {
    let small = members(1, &(2..10).collect::<Vec<u8>>());
    let mut large = members(1, &(2..250).collect::<Vec<u8>>());
    large.due(at(0), true);
    assert!(small.interval(true) < large.interval(true));
    let each_second = 1_000_000 / large.interval(true).0 * 248;
    assert!(
        each_second <= Options::default().statuses_per_second,
        "{each_second}"
    );
}

#[test]
fn the_node_that_is_furthest_ahead_is_asked() {
    let mut members = members(1, &[]);
    let said = |configuration, endpoints| Status {
        configuration,
        endpoints,
        ..status(1, 1, &[])
    };
    members.hear(at(0), node(2), said(5, 10));
    members.hear(at(0), node(3), said(6, 10));
    assert_eq!(members.ahead_opt(at(1), 5, 10), Some(node(3)));
    assert_eq!(members.ahead_opt(at(1), 6, 10), None);
    assert!(members.ahead_opt(at(1), 6, 9).is_some());
    // A node that is silent cannot be asked.
    assert_eq!(members.ahead_opt(at(1) + Span::from_secs(5), 1, 1), None);
}
