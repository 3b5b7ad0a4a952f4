//! Tests of the text forms of rates.

use yuccacroft_core::{
    time::Span,
    units::{BitRate, Size},
};

/// Guards against link rates that change when they are written as text and parsed again.
#[test]
fn bit_rates_round_trip_through_text() {
    let cases = [
        (BitRate::new(10_000_000), "10 Mbit/s"),
        (BitRate::new(2_500_000), "2500 kbit/s"),
        (BitRate::new(8_001), "8001 bit/s"),
        (BitRate::UNLIMITED, "unlimited"),
    ];
    for (rate, text) in cases {
        assert_eq!(rate.to_string(), text);
        assert_eq!(text.parse(), Ok(rate));
    }
    for text in ["", "10", "Mbit/s", "-1 bit/s", "99999999999999 Mbit/s"] {
        assert!(text.parse::<BitRate>().is_err(), "{text}");
    }
}

/// Guards against links that send data faster or slower than their rate.
#[test]
fn sending_time_follows_from_rate_and_size() {
    let rate = BitRate::new(10_000_000);
    assert_eq!(rate.time_to_send(Size::new(1_250)), Span::from_millis(1));
    assert_eq!(BitRate::UNLIMITED.time_to_send(Size::new(1_000_000_000)), Span::ZERO);
}
