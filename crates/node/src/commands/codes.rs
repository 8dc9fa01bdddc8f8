//! `woadstage codes`: prints the table of result codes.

use std::io::Write;

use woadstage_types::code::Code;

/// Prints the table of result codes.
pub fn run(json: bool, out: &mut impl Write) -> anyhow::Result<()> {
    if json {
        let all: Vec<_> = Code::ALL
            .iter()
            .map(|code| {
                serde_json::json!({
                    "code": code.to_string(),
                    "status": code.status(),
                    "outcome": code.outcome().to_string(),
                    "text": code.text(),
                })
            })
            .collect();
        writeln!(out, "{}", serde_json::Value::from(all))?;
        return Ok(());
    }
    writeln!(
        out,
        "| code | HTTP | outcome | meaning |\n| --- | --- | --- | --- |"
    )?;
    for code in Code::ALL {
        let status = match code.status() {
            0 => "-".to_string(),
            status => status.to_string(),
        };
        writeln!(
            out,
            "| {code} | {status} | {} | {} |",
            code.outcome(),
            code.text()
        )?;
    }
    Ok(())
}
