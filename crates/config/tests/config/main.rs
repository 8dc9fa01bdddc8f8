//! Tests of settings, published configurations and plans.

use proptest::prelude::*;
use woadstage_config::fault::Faults;
use woadstage_config::plan;
use woadstage_config::published;
use woadstage_config::settings;
use woadstage_standin::cases;
use woadstage_standin::sample;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Rate;
use woadstage_types::unit::Time;

const SETTINGS: &str = r#"
[node]
host = "entry-1"
data_centre = "cluj-a"

[listen]
callers = "10.0.0.1:8080"
peers = "10.0.0.1:9000"
operators = "10.0.0.1:7000"

[platform]
address = "10.0.0.9:8500"

[identity]
certificate = "c"
key = "k"
authority = "a"
"#;

fn faults_by_path(faults: &Faults) -> Vec<(&str, Code)> {
    faults
        .0
        .iter()
        .map(|fault| (fault.path.as_str(), fault.code))
        .collect()
}

cases! {
    valid_settings_have_no_faults => {
        let settings = settings::parse(SETTINGS).expect("no faults");
        assert_eq!(settings.host, id::Host::new("entry-1"));
        assert!(!format!("{settings:?}").contains("\"k\""), "the private key must not appear in debug output");
    };

    all_faults_in_settings_are_reported_with_their_paths => {
        let bad = SETTINGS
            .replace("10.0.0.1:8080", "nowhere")
            .replace("10.0.0.9:8500\"", "10.0.0.9:8500\"\nwait = \"5m\"")
            .replace("data_centre = \"cluj-a\"", "data_center = \"cluj-a\"\nheartbeat = \"1h\"");
        let faults = settings::parse(&bad).expect_err("faults");
        let found = faults_by_path(&faults);
        for path in ["listen.callers", "node.data_center", "node.data_centre", "node.heartbeat", "platform.wait"] {
            assert!(found.contains(&(path, Code::SettingsValue)), "{path}: {found:?}");
        }
    };

    invalid_toml_is_reported_as_such => {
        let faults = settings::parse("[node").expect_err("faults");
        assert_eq!(faults_by_path(&faults), [("file", Code::SettingsSyntax)]);
    };

    the_sample_configuration_has_no_faults => {
        let config = published::parse(&sample::document()).expect("no faults");
        assert_eq!(config.customers.len(), 5);
        assert_eq!(config.tiers.len(), 3);
    };

    all_faults_in_a_configuration_are_reported => {
        let body = format!("{}{}", sample::ROSTER, sample::customers())
            .replace("tier = \"routine\"", "tier = \"gold\"")
            .replace("slots = 16", "slots = 0")
            .replace("target = \"ledger\"", "target = \"leger\"")
            .replace("limit = \"1000000/s\"", "limit = \"1000000\"");
        let faults = published::parse_body(&body).expect_err("faults");
        let found = faults_by_path(&faults);
        for expected in [
            ("classes.recap.tier", Code::NameUnknown),
            ("models.roster-model.slots", Code::SettingsValue),
            ("classes.booking.target", Code::NameUnknown),
            ("customers.customer-3.limit", Code::SettingsValue),
        ] {
            assert!(found.contains(&expected), "{expected:?}: {found:?}");
        }
    };

    duplicate_names_are_rejected => {
        let body = format!("{}{}{}", sample::ROSTER, sample::customers(), sample::customers());
        let faults = published::parse_body(&body).expect_err("faults");
        assert!(faults_by_path(&faults).contains(&("customers.customer-1.name", Code::NameTwice)));
    };

    documents_over_one_mebibyte_are_rejected => {
        let long = format!("{}# {}", sample::document(), "x".repeat(1 << 20));
        let faults = published::parse(&long).expect_err("faults");
        assert_eq!(faults_by_path(&faults), [("file", Code::DocumentTooLarge)]);
    };

    a_plan_changes_only_what_the_intent_names => {
        let intent = "[[customers]]\nname = \"customer-2\"\nlimit = \"7/s\"\n";
        let plan = plan::build(&sample::document(), intent).expect("a plan");
        let paths: Vec<&str> = plan.changes.iter().map(|change| change.path.as_str()).collect();
        assert_eq!(paths, ["customers.customer-2"]);
        let before = published::parse(&sample::document()).expect("no faults");
        let after = published::parse(&plan.document).expect("no faults");
        assert_eq!(after.confirmation.revision, 2);
        assert_eq!(after.confirmation.base, before.confirmation.digest);
        let limits = |config: &published::Config| {
            let mut limits: Vec<(String, Rate)> = config
                .customers
                .values()
                .map(|customer| (customer.name.to_string(), customer.limit))
                .collect();
            limits.sort();
            limits
        };
        assert_eq!(limits(&after)[1], ("customer-2".into(), Rate(7)));
        assert_eq!(limits(&after)[2..], limits(&before)[2..]);
        assert_eq!(after.classes, before.classes);
    };

    an_intent_removes_the_listed_items => {
        let plan = plan::build(&sample::document(), "remove = [\"classes.booking\"]");
        let faults = plan.expect_err("the default class of a declared service cannot be removed");
        assert_eq!(faults_by_path(&faults)[0].1, Code::NameUnknown);
        let both = "remove = [\"classes.booking\", \"services.ledger\"]";
        let plan = plan::build(&sample::document(), both).expect("a plan");
        assert_eq!(plan.changes.len(), 2);
        let none = plan::build(&sample::document(), "remove = [\"classes.other\"]");
        assert_eq!(faults_by_path(&none.expect_err("faults"))[0].1, Code::IntentInvalid);
    };

    a_first_plan_needs_no_base => {
        let body = format!("{}{}", sample::ROSTER, sample::customers());
        let plan = plan::build("", &body).expect("a plan");
        assert_eq!(plan.confirmation.revision, 1);
    };

    an_event_reserves_slots_while_it_lasts => {
        let intent = "[[events]]\nname = \"call-out\"\nstart = 1970-01-01T00:01:40Z\nend = 1970-01-01T02:03:20+02:00\nprotect = \"rescue\"\nreserve = 30\n";
        let plan = plan::build(&sample::document(), intent).expect("a plan");
        let config = published::parse(&plan.document).expect("no faults");
        let at = |secs: u64| Time(secs * 1_000_000);
        let reserves = |secs| (0..3).map(|tier| config.reserved_percent(tier, at(secs))).collect::<Vec<_>>();
        assert_eq!(reserves(99), [0, 0, 0]);
        assert_eq!(reserves(100), [0, 30, 30]);
        assert_eq!(reserves(200), [0, 0, 0]);
    };
}

proptest! {
    /// A planned document with any byte changed is rejected.
    #[test]
    fn edited_documents_are_rejected(at in 0usize..4_000, byte in 32u8..127) {
        let mut bytes = sample::document().into_bytes();
        let at = at % bytes.len();
        prop_assume!(bytes[at] != byte);
        bytes[at] = byte;
        let text = String::from_utf8(bytes).expect("valid UTF-8");
        let parsed = published::parse(&text);
        let original = published::parse(&sample::document());
        // White space around the values of the confirmation is ignored.
        prop_assert!(parsed.is_err() || parsed == original);
    }

    /// The parsers do not panic on any text.
    #[test]
    fn arbitrary_text_is_parsed_or_rejected(text in "\\PC{0,200}") {
        let _ = settings::parse(&text);
        let _ = published::parse(&text);
        let _ = published::parse_body(&text);
        let _ = plan::build(&sample::document(), &text);
    }
}
