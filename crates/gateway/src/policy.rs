//! Reads the limits and weights of the scheduling policy from the settings.

use woadstage_config::read::Reader;
use woadstage_dispatch::dispatcher::Policy;
use woadstage_types::code::Code;

/// Reads the policy. Fields that the settings omit keep their defaults.
pub fn read(reader: &mut Reader) -> Policy {
    let defaults = Policy::default();
    Policy {
        queue_limit: reader.take_or("queue_limit", defaults.queue_limit),
        ahead: reader.take_or("ahead", defaults.ahead),
        reread: take_number(reader, "reread", defaults.reread),
        decode: take_number(reader, "decode", defaults.decode),
        failing: take_number(reader, "failing", defaults.failing),
        crossing: take_number(reader, "crossing", defaults.crossing),
        look_ahead: reader.take_or("look_ahead", defaults.look_ahead),
        waiting_fresh: reader.take_or("waiting_fresh", defaults.waiting_fresh),
        refuse_beyond: take_number(reader, "refuse_beyond", defaults.refuse_beyond),
        pause_part: take_number(reader, "pause_part", defaults.pause_part),
        wait_for_objective: reader.take_or("wait_for_objective", defaults.wait_for_objective),
        pressed_from: take_number(reader, "pressed_from", defaults.pressed_from),
        late_last: reader.take_or("late_last", defaults.late_last),
        come_back_within: take_number(reader, "come_back_within", defaults.come_back_within),
        rate_window: reader.take_or("rate_window", defaults.rate_window),
        own_cell_for: reader.take_or("own_cell_for", defaults.own_cell_for),
        connects: reader.take_or("connects", defaults.connects),
        least_left: reader.take_or("least_left", defaults.least_left),
        position_forecast: reader.take_or("position_forecast", defaults.position_forecast),
        slot_depth: reader.take_or("slot_depth", defaults.slot_depth),
        fair_shares: reader.take_or("fair_shares", defaults.fair_shares),
        bookings: reader.take_or("bookings", defaults.bookings),
        redirects: reader.take_or("redirects", defaults.redirects),
        present_speed: reader.take_or("present_speed", defaults.present_speed),
    }
}

/// Reads a non-negative number, written as an integer or a float. Returns `default` if the
/// field is absent, or if it is invalid, which is recorded as a fault.
pub fn take_number(reader: &mut Reader, field: &str, default: f64) -> f64 {
    let Some(value) = reader.take_opt::<toml::Value>(field) else {
        return default;
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
            default
        })
}
