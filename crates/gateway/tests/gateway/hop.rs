//! What nodes tell each other about a forwarded request.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use rstest::rstest;
use woadstage_gateway::serve::hop::Answer;
use woadstage_types::code::Code;

const NODE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_600);

fn answer(code: u16) -> Answer {
    Answer::Node {
        code,
        retry_after_us: None,
        wait_us: None,
        configuration: 3,
    }
}

/// Guards against replies of a later build that are taken for an endpoint's answer.
#[rstest]
#[case::known(Code::EndpointRefused.number(), Code::EndpointRefused)]
#[case::of_a_later_build(9_999, Code::EndpointLost)]
fn the_code_of_another_node_becomes_a_reply(#[case] number: u16, #[case] code: Code) {
    let reply = answer(number).to_reply_opt(NODE).expect("a reply");
    assert_eq!((reply.code, reply.owner), (code, Some(NODE)));
}

#[test]
fn a_reply_with_an_unknown_code_is_final() {
    let answer = answer(9_999);
    let reply = answer.to_reply_opt(NODE).expect("a reply");
    assert!(!answer.is_declined(reply, 5));
}
