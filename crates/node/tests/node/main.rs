//! Tests of the frames between nodes, of reading usage, of relaying answers, of outgoing
//! connections, of tasks that end and of stopping.

mod answers;
mod broken_answers;
mod dial;
mod ending;
mod stop;
mod tasks;

use proptest::prelude::*;
use woadstage_body::ending::Ending;
use woadstage_core::message::Heartbeat;
use woadstage_core::message::Message;
use woadstage_node::endpoints::usage::Reader;
use woadstage_node::peers::wire;
use woadstage_standin::cases;
use woadstage_types::id;

const STREAM: &str = concat!(
    "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n",
    "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n",
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2,",
    "\"prompt_tokens_details\":{\"cached_tokens\":5}}}\n\n",
    "data: [DONE]\n\n",
);

fn frame(message: &Message) -> Vec<u8> {
    wire::to_frame(message).expect("a frame")
}

cases! {
    a_frame_round_trips => {
        let message = Message::Heartbeat(Heartbeat {
            revision: 4,
            serves: vec![id::Incarnation(9)],
            ..Heartbeat::default()
        });
        let bytes = frame(&message);
        assert_eq!(wire::decode::<Message>(&bytes[4..]).expect("a message"), message);
    };

    a_frame_of_another_protocol_version_is_rejected => {
        let mut bytes = frame(&Message::WantDocument);
        bytes[4] += 1;
        let error = wire::decode::<Message>(&bytes[4..]).expect_err("another version");
        assert!(error.to_string().contains("version 2"), "{error}");
    };

    usage_is_read_from_a_plain_answer => {
        let mut reader = Reader::new(false);
        reader.read(b"{\"choices\":[],\"usage\":{\"prompt_tokens\":3,");
        reader.read(b"\"completion_tokens\":4}}");
        reader.finish(&Ending::Stated);
        assert_eq!((reader.usage.prompt_tokens, reader.usage.completion_tokens), (3, 4));
        assert!(reader.done);
    };

    a_stream_cut_before_its_end_is_not_done => {
        let mut reader = Reader::new(true);
        reader.read(&STREAM.as_bytes()[..STREAM.len() - 10]);
        reader.finish(&Ending::Stated);
        assert!(!reader.done);
    };

    a_stream_is_still_read_after_an_oversized_line => {
        // The length limit for a line bounds the memory that an endless line takes.
        let mut reader = Reader::new(true);
        for _ in 0..1_000 {
            reader.read(&[b'x'; 1_024]);
        }
        reader.read(b"\n");
        reader.read(STREAM.as_bytes());
        assert!(reader.done);
    };
}

proptest! {
    /// The result does not depend on how a stream is split into chunks.
    #[test]
    fn usage_is_independent_of_chunk_boundaries(
        cuts in proptest::collection::vec(0..STREAM.len(), 0..20),
    ) {
        let mut cuts = cuts;
        cuts.push(0);
        cuts.push(STREAM.len());
        cuts.sort();
        let mut reader = Reader::new(true);
        let tokens: u64 = cuts
            .windows(2)
            .map(|pair| reader.read(&STREAM.as_bytes()[pair[0]..pair[1]]))
            .sum();
        prop_assert_eq!(tokens, 2);
        prop_assert!(reader.done);
        prop_assert_eq!(reader.usage.prompt_tokens_details.unwrap_or_default().cached_tokens, 5);
    }

    /// The decoder does not panic on any input.
    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = wire::decode::<Message>(&bytes);
        let _ = wire::decode::<wire::ForwardedRequest>(&bytes);
    }
}
