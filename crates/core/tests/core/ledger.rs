//! Tests of the tickets and keys of one node.

use woadstage_core::ledger::Claim;
use woadstage_core::ledger::Claimant;
use woadstage_core::ledger::Key;
use woadstage_core::ledger::Ledger;
use woadstage_core::ledger::MAX_PLAIN_KEYS;
use woadstage_core::ledger::MAX_TICKETS;
use woadstage_core::ledger::Ticket;
use woadstage_standin::cases;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

const NOW: Time = Time(1_796_000_000_000_000);

fn ledger(run: u128) -> Ledger {
    Ledger::new(id::Incarnation(run), NOW, Size(1_000))
}

fn by(request: u128) -> Claimant {
    Claimant {
        request: id::Request(request),
        customer: 7,
        fingerprint: 1,
        endpoint_checks: false,
    }
}

fn ticket(ledger: &mut Ledger) -> Key {
    Key::Ticket(ledger.try_issue(7).expect("the ledger is open"))
}

fn plain(born: Time) -> Key {
    let text = uuid::Uuid::from_u128(id::new_v7(born, 5)).to_string();
    Key::Plain(7, text)
}

fn later(seconds: u64) -> Time {
    NOW + Span::from_secs(seconds)
}

cases! {
    a_ticket_reads_as_it_was_written => {
        let ticket = Ticket { incarnation: id::Incarnation(42), number: 4_711 };
        assert_eq!(ticket.to_string().parse(), Ok(ticket));
        for text in ["", "wst1-", "wst1-zz-1", "wst2-0-1", "order-17"] {
            assert!(text.parse::<Ticket>().is_err(), "{text}");
        }
    };

    a_ticket_runs_once_and_a_repeat_gets_its_answer => {
        let mut ledger = ledger(1);
        let key = ticket(&mut ledger);
        assert_eq!(ledger.claim(NOW, &key, by(1)), Claim::First);
        assert_eq!(ledger.claim(NOW, &key, by(2)), Claim::Wait);
        assert_eq!(ledger.record(id::Request(1), Some(Size(100))), [id::Request(2)]);
        assert_eq!(ledger.claim(NOW, &key, by(3)), Claim::Replay(id::Request(1)));
    };

    a_used_ticket_whose_answer_is_gone_never_runs_again => {
        let mut ledger = ledger(1);
        let key = ticket(&mut ledger);
        assert_eq!(ledger.claim(NOW, &key, by(1)), Claim::First);
        ledger.record(id::Request(1), None);
        assert_eq!(ledger.claim(NOW, &key, by(2)), Claim::Refused(Code::AnswerDropped));
    };

    old_answers_give_way_and_their_tickets_stay_used => {
        let mut ledger = ledger(1);
        let keys: Vec<Key> = (0..20).map(|_| ticket(&mut ledger)).collect();
        let mut dropped = Vec::new();
        for (at, key) in keys.iter().enumerate() {
            assert_eq!(ledger.claim(NOW, key, by(at as u128)), Claim::First);
            ledger.record(id::Request(at as u128), Some(Size(100)));
            dropped.extend(ledger.trim_answers());
        }
        assert_eq!(dropped.len(), 10);
        assert_eq!(ledger.claim(NOW, &keys[0], by(99)), Claim::Refused(Code::AnswerDropped));
        assert_eq!(ledger.claim(NOW, &keys[19], by(99)), Claim::Replay(id::Request(19)));
        assert_eq!(ledger.len(), 10);
    };

    a_request_that_never_ran_may_be_tried_again => {
        let mut ledger = ledger(1);
        let key = ticket(&mut ledger);
        assert_eq!(ledger.claim(NOW, &key, by(1)), Claim::First);
        assert_eq!(ledger.claim(NOW, &key, by(2)), Claim::Wait);
        assert_eq!(ledger.release_key(id::Request(1)), [id::Request(2)]);
        assert_eq!(ledger.claim(NOW, &key, by(3)), Claim::First);
    };

    a_ticket_belongs_to_one_customer => {
        let mut ledger = ledger(1);
        let key = ticket(&mut ledger);
        let stranger = Claimant { customer: 8, ..by(1) };
        assert_eq!(ledger.claim(NOW, &key, stranger), Claim::Refused(Code::TicketInvalid));
        assert_eq!(ledger.claim(NOW, &key, by(2)), Claim::First);
    };

    a_ticket_that_was_never_issued_runs_nothing => {
        let mut ledger = ledger(1);
        let made_up = Key::Ticket(Ticket { incarnation: id::Incarnation(1), number: 5 });
        assert_eq!(ledger.claim(NOW, &made_up, by(1)), Claim::Refused(Code::TicketInvalid));
        let elsewhere = Key::Ticket(Ticket { incarnation: id::Incarnation(2), number: 0 });
        assert_eq!(ledger.claim(NOW, &elsewhere, by(1)), Claim::Refused(Code::OwnerGone));
    };

    a_key_means_one_request => {
        let mut ledger = ledger(1);
        let key = ticket(&mut ledger);
        assert_eq!(ledger.claim(NOW, &key, by(1)), Claim::First);
        let other = Claimant { fingerprint: 2, ..by(2) };
        assert_eq!(ledger.claim(NOW, &key, other), Claim::Refused(Code::KeyInUse));
    };

    a_ticket_beyond_the_window_is_refused_not_run => {
        let mut ledger = ledger(1);
        let oldest = ticket(&mut ledger);
        let used = ticket(&mut ledger);
        assert_eq!(ledger.claim(NOW, &used, by(1)), Claim::First);
        for _ in 0..MAX_TICKETS {
            ticket(&mut ledger);
        }
        assert_eq!(ledger.claim(NOW, &oldest, by(2)), Claim::Refused(Code::TicketExpired));
        // A running ticket is remembered until it ends and does not run again.
        assert_eq!(ledger.claim(NOW, &used, by(3)), Claim::Wait);
        ledger.release_key(id::Request(1));
        assert_eq!(ledger.claim(NOW, &used, by(4)), Claim::Refused(Code::TicketExpired));
    };

    a_ledger_handed_over_runs_nothing => {
        let mut first = ledger(1);
        let (used, unused) = (ticket(&mut first), ticket(&mut first));
        assert_eq!(first.claim(NOW, &used, by(1)), Claim::First);
        assert!(first.try_hand_over().is_none(), "a keyed request is in progress");
        first.record(id::Request(1), None);
        let estate = first.try_hand_over().expect("nothing is in progress");
        assert_eq!(first.claim(NOW, &unused, by(2)), Claim::Refused(Code::OwnerGone));
        assert_eq!(first.try_issue(7), None);
        let mut second = ledger(2);
        second.take_over(estate.clone());
        assert_eq!(second.claim(NOW, &used, by(3)), Claim::Refused(Code::AnswerDropped));
        assert_eq!(second.claim(NOW, &unused, by(4)), Claim::First);
        second.record(id::Request(4), None);
        // The transfer arrives again: tickets used in between stay used.
        second.take_over(estate);
        assert_eq!(second.claim(NOW, &unused, by(5)), Claim::Refused(Code::AnswerDropped));
    };

    a_plain_key_from_before_this_run_is_refused => {
        let mut ledger = ledger(1);
        let old = plain(NOW - Span::from_secs(1));
        assert_eq!(ledger.claim(NOW, &old, by(1)), Claim::Refused(Code::KeyTooOld));
        let early = plain(NOW + Span::from_millis(400));
        assert_eq!(ledger.claim(NOW, &early, by(1)), Claim::Refused(Code::KeyTooOld));
        let fresh = plain(later(5));
        assert_eq!(ledger.claim(later(5), &fresh, by(1)), Claim::First);
    };

    a_plain_key_from_the_future_is_refused => {
        let mut ledger = ledger(1);
        let future = plain(later(60));
        assert_eq!(ledger.claim(later(5), &future, by(1)), Claim::Refused(Code::KeyTooOld));
    };

    plain_keys_are_bounded_and_what_is_forgotten_is_refused => {
        let mut ledger = ledger(1);
        let key = |at: u64| plain(later(5) + Span::from_millis(at));
        let now = later(5) + Span::from_millis(MAX_PLAIN_KEYS as u64 + 10);
        for at in 0..=MAX_PLAIN_KEYS as u64 {
            let request = id::Request(u128::from(at));
            assert_eq!(ledger.claim(now, &key(at), by(u128::from(at))), Claim::First);
            ledger.record(request, None);
        }
        assert!(ledger.len() <= MAX_PLAIN_KEYS);
        assert_eq!(ledger.claim(now, &key(0), by(9)), Claim::Refused(Code::KeyTooOld));
    };
}
