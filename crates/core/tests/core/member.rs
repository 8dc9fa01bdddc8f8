//! Tests of membership and liveness.

use woadstage_config::hosts;
use woadstage_core::member::Members;
use woadstage_core::message::Heartbeat;
use woadstage_core::pool::Peer;
use woadstage_standin::cases;
use woadstage_standin::sample;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

const NOW: Time = Time(1_796_000_000_000_000);

fn list(names: &[&str]) -> hosts::List {
    let entry = |name: &&str| sample::entry(name, "127.0.0.1:1", "a");
    hosts::List {
        hosts: names.iter().map(entry).collect(),
    }
}

fn peer(name: &str) -> Peer {
    Peer {
        host: id::Host::new(name),
        incarnation: id::Incarnation(1),
    }
}

fn members() -> Members {
    let interval = Span::from_millis(100);
    Members::new(id::Host::new("own"), id::DataCentre::new("a"), interval)
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        revision: 1,
        hosts_index: 1,
        ..Heartbeat::default()
    }
}

cases! {
    hosts_that_were_replaced_are_forgotten => {
        let mut members = members();
        for turn in 0..1_000 {
            let name = format!("entry-{turn}");
            members.set_list(&list(&["own", &name]));
            members.set_connected(&peer(&name));
            members.record_heartbeat(NOW, &peer(&name), heartbeat());
            members.set_disconnected(&id::Host::new(&name));
        }
        members.set_list(&list(&["own"]));
        assert_eq!(members.peers.len(), 0);
    };

    a_connected_host_that_the_list_lacks_is_kept => {
        let mut members = members();
        members.set_connected(&peer("entry-1"));
        members.record_heartbeat(NOW, &peer("entry-1"), heartbeat());
        members.set_list(&list(&["own"]));
        assert!(members.is_reachable(NOW, &id::Host::new("entry-1")));
    };

    a_node_that_was_not_heard_for_five_heartbeats_is_not_live => {
        let mut members = members();
        members.set_connected(&peer("entry-1"));
        members.record_heartbeat(NOW, &peer("entry-1"), heartbeat());
        let live = |members: &Members, after| members.live(NOW + Span::from_millis(after), false).len();
        assert_eq!((live(&members, 500), live(&members, 501)), (2, 1));
    };

    a_node_that_is_leaving_or_unconfigured_manages_no_pool => {
        let mut members = members();
        members.set_connected(&peer("entry-1"));
        members.record_heartbeat(NOW, &peer("entry-1"), Heartbeat { leaving: true, ..heartbeat() });
        assert_eq!(members.live(NOW, false).len(), 1);
        members.record_heartbeat(NOW, &peer("entry-1"), Heartbeat { revision: 0, ..heartbeat() });
        assert_eq!(members.live(NOW, false).len(), 1);
        members.record_heartbeat(NOW, &peer("entry-1"), heartbeat());
        assert_eq!(members.live(NOW, false).len(), 2);
    };
}
