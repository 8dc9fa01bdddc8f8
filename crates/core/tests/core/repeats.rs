//! Tests that retries stay within their budget.

use woadstage_standin::cases;
use woadstage_standin::world::Options;
use woadstage_standin::world::World;
use woadstage_types::unit::Span;

use crate::support::chat;
use crate::support::violations;
use crate::support::world;

/// Runs a load while some engines fail every call, and returns the number of
/// calls per request.
fn amplification(failing: usize) -> f64 {
    let mut world: World = world(Options::default());
    for endpoint in world.endpoints.iter_mut().take(failing) {
        endpoint.down = true;
    }
    let requests = 2_000;
    for turn in 0..requests {
        let node = (turn % 3) as usize;
        world.after(Span::from_millis(turn * 5), move |world| {
            let (arrival, work) = chat("handover-summary", &format!("chat {turn}"), 50, 5);
            world.ask(node, arrival, work);
        });
    }
    world.run_for(Span::from_secs(40));
    assert_eq!(violations(&world), Vec::<String>::new());
    world.called as f64 / requests as f64
}

cases! {
    two_of_three_engines_refuse_and_calls_do_not_multiply => {
        assert!(amplification(2) < 1.15);
    };

    all_engines_refuse_and_calls_do_not_multiply => {
        assert!(amplification(3) < 1.15);
    };

    a_call_is_never_made_again_after_the_first_byte => {
        let mut world = world(Options::default());
        let (arrival, work) = chat("handover-summary", "chat", 50, 500);
        let asked = world.ask(0, arrival, work);
        world.run_for(Span::from_millis(500));
        assert!(world.asked[&asked].first.is_some());
        let node = world.asked[&asked].node;
        let failed = woadstage_core::node::Call::BROKEN;
        let event = woadstage_core::node::Event::Call { request: asked, attempt: 1, what: failed };
        let before = world.called;
        world.tell(node, event);
        world.run_for(Span::from_secs(1));
        assert_eq!(world.called, before);
        assert_eq!(crate::support::refusal_code(&world, asked), "W3008");
    };
}
