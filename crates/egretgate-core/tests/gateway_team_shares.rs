//! The order among teams.

use std::time::{Duration, Instant};

use egretgate_core::gateway::catalog::TokenLimit;
use egretgate_core::gateway::team_share::TeamShares;
use egretgate_core::gateway::token_bucket::TokenBucket;

const STEP: Duration = Duration::from_millis(100);
/// Steps for which teams send before the order is compared.
const STEPS: u32 = 40;

struct Team {
    limit: f64,
    /// What it gets, relative to its limit.
    used: f64,
    rank: u8,
}

/// Every entry ranks the teams alike, whether a team sends through it or through another one: by
/// what they use of their limits, not by how much that is.
#[test]
fn all_entries_come_to_the_same_order() {
    struct Case {
        name: &'static str,
        teams: &'static [Team],
    }
    let cases = [
        Case {
            name: "large and small alike",
            teams: &[
                Team { limit: 1_000_000.0, used: 0.5, rank: 0 },
                Team { limit: 50_000.0, used: 0.5, rank: 0 },
            ],
        },
        Case {
            name: "one beyond its part",
            teams: &[
                Team { limit: 100_000.0, used: 0.9, rank: 1 },
                Team { limit: 300_000.0, used: 0.5, rank: 0 },
                Team { limit: 300_000.0, used: 0.4, rank: 0 },
            ],
        },
        Case {
            name: "two beyond, one of them more",
            teams: &[
                Team { limit: 50_000.0, used: 0.9, rank: 3 },
                Team { limit: 50_000.0, used: 0.45, rank: 1 },
                Team { limit: 900_000.0, used: 0.25, rank: 0 },
            ],
        },
        Case {
            name: "idle teams are no measure",
            teams: &[
                Team { limit: 100_000.0, used: 0.8, rank: 0 },
                Team { limit: 900_000.0, used: 0.0, rank: 0 },
            ],
        },
    ];
    for case in cases {
        let start = Instant::now();
        let bucket = |team: &Team| {
            TokenBucket::new(TokenLimit { rate: team.limit, burst: team.limit }, start)
        };
        let entries = [0, 1].map(|entry| {
            let mut buckets: Vec<TokenBucket> = case.teams.iter().map(bucket).collect();
            let mut shares = TeamShares::default();
            let mut now = start;
            for _ in 0..STEPS {
                now += STEP;
                for (index, (team, bucket)) in case.teams.iter().zip(&mut buckets).enumerate() {
                    let tokens = (team.limit * team.used * STEP.as_secs_f64()) as u64;
                    if index % 2 == entry {
                        bucket.take(tokens, 0, 1.0, now).expect("it is within its limit");
                    } else {
                        bucket.record_peer_spend(tokens, now);
                    }
                }
                shares.update(buckets.iter(), now);
            }
            buckets.iter().map(|bucket| shares.rank(bucket, now)).collect::<Vec<u8>>()
        });
        let expected: Vec<u8> = case.teams.iter().map(|team| team.rank).collect();
        assert_eq!(entries[0], expected, "{}", case.name);
        assert_eq!(entries[1], expected, "{}", case.name);
    }
}
