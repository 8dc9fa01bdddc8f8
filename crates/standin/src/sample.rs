//! Configurations of the two first users' deployments, and host lists.

use woadstage_config::hosts;
use woadstage_config::published;
use woadstage_types::id;

/// Bearer tokens of the five customers; the first two are the large ones.
pub const TOKENS: [&str; 5] = [
    "token-one",
    "token-two",
    "token-three",
    "token-four",
    "token-five",
];

/// The roster fleet's configuration, without its confirmation.
pub const ROSTER: &str = r#"
tiers = ["rescue", "roster", "routine"]

[[models]]
name = "roster-model"
version = "3"
default_class = "handover-summary"
slots = 16
prefill = "20000/s"
step = "8ms"
cache = 60000

[[services]]
name = "roster"
default_class = "certification-check"
slots = 32
step = "20ms"

[[services]]
name = "ledger"
default_class = "booking"
slots = 32
step = "20ms"
checks_keys = true

[[classes]]
name = "call-out-notice"
tier = "rescue"
target = "roster-model"
repeatable = false
timeout = "10s"
output = 80

[[classes]]
name = "rescue-summary"
tier = "rescue"
target = "roster-model"
repeatable = true
timeout = "10s"
output = 80

[[classes]]
name = "handover-summary"
tier = "roster"
target = "roster-model"
repeatable = true
timeout = "20s"
output = 160

[[classes]]
name = "recap"
tier = "routine"
target = "roster-model"
repeatable = true
timeout = "30s"
output = 200

[[classes]]
name = "certification-check"
tier = "roster"
target = "roster"
repeatable = true
timeout = "2s"

[[classes]]
name = "shift-confirmation"
tier = "rescue"
target = "roster"
repeatable = false
timeout = "5s"

[[classes]]
name = "plain-confirmation"
tier = "rescue"
target = "roster"
repeatable = false
plain_keys = true
timeout = "5s"

[[classes]]
name = "booking"
tier = "rescue"
target = "ledger"
repeatable = false
timeout = "5s"
"#;

/// The customers' part of a configuration.
pub fn customers() -> String {
    let mut text = String::new();
    for (place, token) in TOKENS.iter().enumerate() {
        let digest: String = published::sha256(token)
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        text.push_str(&format!(
            "\n[[customers]]\nname = \"customer-{}\"\ntoken_sha256 = \"{digest}\"\nlimit = \"1000000/s\"\n",
            place + 1
        ));
    }
    text
}

/// The roster fleet's first document.
pub fn document() -> String {
    published::write(1, "", &format!("{ROSTER}{}", customers()))
}

/// An entry host of a list.
pub fn entry(name: &str, address: &str, centre: &str) -> hosts::Host {
    hosts::Host {
        name: name.into(),
        role: hosts::Role::Entry,
        address: address.into(),
        data_centre: id::DataCentre::new(centre),
        state: hosts::State::Live,
        serves: None,
    }
}

/// An endpoint of a list.
pub fn endpoint(name: &str, address: &str, centre: &str, serves: &str) -> hosts::Host {
    hosts::Host {
        role: hosts::Role::Endpoint,
        serves: Some(id::Target::new(serves)),
        ..entry(name, address, centre)
    }
}
