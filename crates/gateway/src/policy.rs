//! The weights and bounds of the policy, as operators may set them.

use woadstage_config::read::Reader;
use woadstage_dispatch::dispatcher::Policy;
use woadstage_types::code::Code;

/// Reads what the settings say of the policy; the rest keeps its defaults.
pub fn read(reader: &mut Reader) -> Policy {
    let usual = Policy::default();
    Policy {
        queue_limit: reader.take_or("queue_limit", usual.queue_limit),
        ahead: reader.take_or("ahead", usual.ahead),
        reread: number(reader, "reread", usual.reread),
        decode: number(reader, "decode", usual.decode),
        failing: number(reader, "failing", usual.failing),
        crossing: number(reader, "crossing", usual.crossing),
        look_ahead: reader.take_or("look_ahead", usual.look_ahead),
        waiting_fresh: reader.take_or("waiting_fresh", usual.waiting_fresh),
        refuse_beyond: number(reader, "refuse_beyond", usual.refuse_beyond),
        pause_part: number(reader, "pause_part", usual.pause_part),
        wait_for_objective: reader.take_or("wait_for_objective", usual.wait_for_objective),
        pressed_from: number(reader, "pressed_from", usual.pressed_from),
        late_last: reader.take_or("late_last", usual.late_last),
        come_back_within: number(reader, "come_back_within", usual.come_back_within),
        rate_window: reader.take_or("rate_window", usual.rate_window),
        own_cell_for: reader.take_or("own_cell_for", usual.own_cell_for),
        connects: reader.take_or("connects", usual.connects),
        least_left: reader.take_or("least_left", usual.least_left),
    }
}

/// A number that may be written whole or with a point, and is not negative.
pub fn number(reader: &mut Reader, field: &str, usual: f64) -> f64 {
    let Some(value) = reader.take_opt::<toml::Value>(field) else {
        return usual;
    };
    let number = match value {
        toml::Value::Integer(whole) => Some(whole as f64),
        toml::Value::Float(number) => Some(number),
        _ => None,
    };
    number
        .filter(|number| number.is_finite() && *number >= 0.0)
        .unwrap_or_else(|| {
            reader.add_fault(field, Code::SettingsValue, "Give a number from zero up.");
            usual
        })
}
