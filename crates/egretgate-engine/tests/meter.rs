//! Token counts and latencies of streams, which may be split anywhere.

use std::time::Duration;

use egretgate_engine::TokenMeter;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::time::Instant;

/// Feeds chunks one millisecond apart.
fn feed<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> TokenMeter {
    let mut meter = TokenMeter::new();
    let mut now = Instant::now();
    for chunk in chunks {
        meter.feed(chunk, now);
        now += Duration::from_millis(1);
    }
    meter
}

#[test]
fn events_are_counted() {
    struct Case {
        name: &'static str,
        stream: &'static str,
        tokens: u32,
        done: bool,
    }
    let cases = [
        Case { name: "empty", stream: "", tokens: 0, done: false },
        Case { name: "one", stream: "data: {}\n\n", tokens: 1, done: false },
        Case { name: "no space", stream: "data:{}\n\n", tokens: 1, done: false },
        Case { name: "done", stream: "data: {}\n\ndata: [DONE]\n\n", tokens: 1, done: true },
        Case {
            name: "crlf",
            stream: "data: {}\r\n\r\ndata: [DONE]\r\n\r\n",
            tokens: 1,
            done: true,
        },
        Case { name: "comment", stream: ": ping\n\ndata: {}\n\n", tokens: 1, done: false },
        Case { name: "fields", stream: "id: 1\nevent: x\ndata: {}\n\n", tokens: 1, done: false },
        Case { name: "two lines", stream: "data: {\ndata: }\n\n", tokens: 1, done: false },
        Case { name: "cut event", stream: "data: {}\n\ndata: {\"te", tokens: 1, done: false },
        Case { name: "cut end", stream: "data: {}\n\ndata: [DONE]", tokens: 1, done: false },
        Case {
            name: "end mark inside",
            stream: "data: {\"text\":\"[DONE]\"}\n\n",
            tokens: 1,
            done: false,
        },
        Case {
            name: "end mark before text",
            stream: "data: [DONE]          no\n\n",
            tokens: 1,
            done: false,
        },
    ];
    for Case { name, stream, tokens, done } in cases {
        let whole = feed([stream.as_bytes()]);
        let bytes = feed(stream.as_bytes().chunks(1));
        for meter in [whole, bytes] {
            assert_eq!(meter.tokens(), tokens, "{name}");
            assert_eq!(meter.is_done(), done, "{name}");
            let is_whole = stream.is_empty() || stream.replace('\r', "").ends_with("\n\n");
            assert_eq!(meter.is_inside_event(), !is_whole, "{name}");
            assert_eq!(meter.first_token().is_some(), tokens > 0, "{name}");
        }
    }
}

#[test]
fn gaps_are_measured_between_tokens() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut meter = TokenMeter::new();
    assert_eq!(meter.feed(b"data: 1\n", at(0)).tokens, 0);
    assert_eq!(meter.feed(b"\n", at(10)).gap, None);
    assert_eq!(meter.feed(b"data: 2\n\n", at(40)).gap, Some(Duration::from_millis(30)));
    let both = meter.feed(b"data: 3\n\ndata: 4\n\n", at(50));
    assert_eq!((both.tokens, both.gap), (2, Some(Duration::from_millis(5))));
    assert_eq!(meter.first_token(), Some(at(10)));
    assert_eq!(meter.last_token(), Some(at(50)));
    assert_eq!(meter.longest_gap(), Duration::from_millis(30));
    assert_eq!(meter.mean_gap(), Some(Duration::from_millis(40) / 3));
}

fn event() -> impl Strategy<Value = (String, u32)> {
    prop_oneof![
        6 => "[a-z\\[\\]\": ]{1,30}".prop_map(|text| (format!("data: {{{text}}}\n\n"), 1)),
        1 => Just((": ping\n\n".to_owned(), 0)),
        1 => Just(("event: token\r\ndata: {}\r\n\r\n".to_owned(), 1)),
        1 => Just(("data: [\ndata: ]\n\n".to_owned(), 1)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn splits_do_not_change_the_count(
        events in prop::collection::vec(event(), 0..20),
        end in any::<bool>(),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let tokens: u32 = events.iter().map(|(_, tokens)| tokens).sum();
        let mut stream: String = events.into_iter().map(|(text, _)| text).collect();
        if end {
            stream.push_str("data: [DONE]\n\n");
        }
        let mut cuts: Vec<_> = cuts.iter().map(|cut| cut.index(stream.len() + 1)).collect();
        cuts.extend([0, stream.len()]);
        cuts.sort_unstable();
        let meter = feed(cuts.windows(2).map(|cut| &stream.as_bytes()[cut[0]..cut[1]]));
        prop_assert_eq!(meter.tokens(), tokens);
        prop_assert_eq!(meter.is_done(), end);
    }
}
