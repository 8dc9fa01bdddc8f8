//! Tests of which configuration is in force.

use std::sync::Arc;

use woadstage_config::plan;
use woadstage_config::published;
use woadstage_core::document::Document;
use woadstage_core::document::check_replacement;
use woadstage_standin::cases;
use woadstage_standin::sample;
use woadstage_standin::world::Options;
use woadstage_standin::world::World;
use woadstage_types::code::Code;
use woadstage_types::unit::Span;

use crate::support::world;

fn next(base: &str, limit: u64) -> Arc<str> {
    let intent = format!("[[customers]]\nname = \"customer-1\"\nlimit = \"{limit}/s\"\n");
    plan::build(base, &intent).expect("a plan").document.into()
}

fn revisions(world: &World) -> Vec<u64> {
    let revision = |node: usize| {
        world.query(node, |core| {
            core.document_opt().map(|d| d.config.confirmation.revision)
        })
    };
    (0..world.hosts.len())
        .filter_map(|node| revision(node).flatten())
        .collect()
}

fn digests(world: &World) -> Vec<String> {
    let digest = |node: usize| {
        world.query(node, |core| {
            core.document_opt()
                .map(|d| d.config.confirmation.digest.clone())
        })
    };
    (0..world.hosts.len())
        .filter_map(|node| digest(node).flatten())
        .collect()
}

fn all_same(world: &World) -> bool {
    let found = digests(world);
    found.iter().all(|digest| *digest == found[0])
}

fn four_nodes() -> World {
    world(Options {
        nodes: 4,
        ..Options::default()
    })
}

cases! {
    a_document_that_was_edited_after_planning_is_refused => {
        let edited = sample::document().replace("rescue", "rescued");
        let read = Document::read(edited.into(), 1);
        assert_eq!(read.err(), Some(Code::DigestMismatch));
    };

    one_node_reads_a_document_and_all_follow_within_a_second => {
        let mut world = four_nodes();
        let second = next(&sample::document(), 7);
        world.show_document(2, &second, 2);
        world.run_for(Span::from_secs(1));
        assert_eq!(revisions(&world), [2, 2, 2, 2]);
    };

    a_stale_platform_does_not_bring_an_older_document_back => {
        let mut world = four_nodes();
        let second = next(&sample::document(), 7);
        world.show_document(0, &second, 5);
        world.run_for(Span::from_secs(1));
        for node in 0..4 {
            world.show_document(node, &sample::document().into(), 9);
        }
        world.run_for(Span::from_secs(1));
        assert_eq!(revisions(&world), [2, 2, 2, 2]);
    };

    a_new_node_with_a_stale_platform_learns_from_the_others_before_it_is_ready => {
        let mut world = four_nodes();
        let second = next(&sample::document(), 7);
        world.show_document(0, &second, 5);
        world.run_for(Span::from_secs(1));
        world.kill(3, true);
        world.run_for(Span::from_secs(1));
        world.start(3);
        assert_eq!(world.query(3, |core| core.is_ready()), Some(false));
        world.run_for(Span::from_millis(1));
        assert_eq!(world.query(3, |core| core.is_ready()), Some(false));
        world.run_for(Span::from_secs(1));
        assert_eq!(world.query(3, |core| core.is_ready()), Some(true));
        assert_eq!(revisions(&world), [2, 2, 2, 2]);
    };

    two_operators_confirm_against_one_base_and_the_first_holds_everywhere => {
        let mut world = four_nodes();
        let (one, other) = (next(&sample::document(), 7), next(&sample::document(), 8));
        // Some hosts see the first document, others only the one that overwrote it.
        world.show_document(0, &one, 2);
        world.show_document(1, &one, 2);
        world.show_document(2, &other, 3);
        world.show_document(3, &other, 3);
        world.run_for(Span::from_secs(1));
        assert!(all_same(&world), "{:?}", digests(&world));
        let first = published::parse(&one).expect("a document").confirmation.digest;
        assert_eq!(digests(&world)[0], first);
    };

    a_document_planned_against_another_base_is_refused => {
        let (one, other) = (next(&sample::document(), 7), next(&sample::document(), 8));
        let held = Document::read(one, 2).expect("a document");
        let beside = Document::read(next(&other, 9), 4).expect("a document");
        assert_eq!(check_replacement(Some(&held), &beside), Err(Code::BaseMismatch));
    };

    hosts_cut_off_from_the_platform_are_reached_through_others => {
        let mut world = four_nodes();
        world.cut(0, 3);
        world.cut(1, 3);
        world.run_for(Span::from_secs(3));
        let second = next(&sample::document(), 7);
        world.show_document(0, &second, 2);
        world.run_for(Span::from_secs(1));
        assert_eq!(revisions(&world), [2, 2, 2, 2], "through node 2");
    };

    a_host_paused_across_a_change_follows_when_it_wakes => {
        let mut world = four_nodes();
        world.pause(3);
        world.run_for(Span::from_secs(1));
        let second = next(&sample::document(), 7);
        world.show_document(0, &second, 2);
        world.run_for(Span::from_secs(5));
        world.resume(3);
        world.run_for(Span::from_secs(1));
        assert_eq!(revisions(&world), [2, 2, 2, 2]);
    };

    not_every_node_reads_the_platform => {
        let world = world(Options { nodes: 9, ..Options::default() });
        let now = world.now();
        let watchers = (0..9)
            .filter(|node| world.query(*node, |core| core.is_watcher(now)) == Some(true))
            .count();
        // Two watchers in each of three data centres.
        assert_eq!(watchers, 6);
    };
}
