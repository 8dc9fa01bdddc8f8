//! The path of requests and answers through nodes, engines and services.

use woadstage_standin::cases;
use woadstage_standin::client::Caller;
use woadstage_standin::sample;

use crate::support::caller;
use crate::support::fleet;
use crate::support::run;

cases! {
    stream_and_service_call_through_different_nodes => run(async {
        let fleet = fleet().await?;
        let chat = caller().chat(&fleet.nodes[0].callers, "handover-summary", "night", 8, true).await?;
        assert_eq!((chat.status, chat.code.as_str(), chat.outcome.as_str()), (200, "W0000", "ran"));
        assert!(chat.body.contains("answers: night") && chat.body.contains("data: [DONE]"));
        let uri = format!("http://{}/services/roster/check/17?full=1", fleet.nodes[1].callers);
        let check = caller().send("GET", &uri, &[], "").await?;
        assert_eq!(check.status, 200);
        assert!(check.body.contains("\"path\":\"/check/17\""), "{}", check.body);
        Ok(())
    });

    plain_chat_answer_is_forwarded => run(async {
        let fleet = fleet().await?;
        let chat = caller().chat(&fleet.nodes[2].callers, "recap", "finale", 4, false).await?;
        let body: serde_json::Value = serde_json::from_str(&chat.body)?;
        assert_eq!(body["usage"]["completion_tokens"], 4);
        Ok(())
    });

    ticket_sent_to_all_nodes_at_once_runs_once => run(async {
        let fleet = fleet().await?;
        let key = caller().ticket(&fleet.nodes[0].callers).await?;
        let (a, b, c) = tokio::join!(
            async { caller().confirm(&fleet.nodes[0].callers, "shift-confirmation", &key, "x").await },
            async { caller().confirm(&fleet.nodes[1].callers, "shift-confirmation", &key, "x").await },
            async { caller().confirm(&fleet.nodes[2].callers, "shift-confirmation", &key, "x").await },
        );
        for answer in [a?, b?, c?] {
            assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"));
            assert!(answer.body.contains("\"ran\":\"x\""));
        }
        assert_eq!(fleet.roster_runs("x"), 1);
        Ok(())
    });

    idempotency_key_of_the_caller_runs_once_if_the_endpoint_checks_keys => run(async {
        let fleet = fleet().await?;
        for node in &fleet.nodes {
            let answer = caller().confirm(&node.callers, "booking", "order-17", "seat").await?;
            assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"), "{}", answer.body);
        }
        assert_eq!(fleet.ledger_runs("seat"), 1);
        Ok(())
    });

    concurrent_callers_get_their_own_complete_answers => run(async {
        let fleet = fleet().await?;
        let mut tasks = Vec::new();
        for turn in 0..60usize {
            let node = fleet.nodes[turn % 3].callers.clone();
            let caller = Caller::new(sample::TOKENS[turn % 5]);
            tasks.push(tokio::spawn(async move {
                let words = format!("words of caller {turn}.");
                let stream = turn % 2 == 0;
                let tokens = 1 + turn as u64 % 40;
                (words.clone(), tokens, caller.chat(&node, "recap", &words, tokens, stream).await)
            }));
        }
        for task in tasks {
            let (words, tokens, answer) = task.await?;
            let answer = answer?;
            assert_eq!(answer.status, 200, "{}", answer.body);
            assert!(answer.whole && answer.body.contains(&words), "{words}: {}", answer.body);
            assert!(answer.body.contains(&format!("\"completion_tokens\":{tokens}")));
            let answers_in_body = answer.body.matches("words of caller").count();
            assert_eq!(answers_in_body, 1, "{}", answer.body);
        }
        Ok(())
    });

    broken_stream_ends_with_an_error_and_without_done => run(async {
        let fleet = fleet().await?;
        for (address, _) in &fleet.engines {
            let uri = format!("http://{address}/control");
            caller().send("POST", &uri, &[], r#"{"break_after": 3}"#).await?;
        }
        let chat = caller().chat(&fleet.nodes[0].callers, "recap", "finale", 20, true).await?;
        assert!(chat.body.contains("event: error"), "{}", chat.body);
        assert!(chat.body.contains("W3008") && !chat.body.contains("[DONE]"));
        Ok(())
    });
}
