//! Tests of entries and side processes as separate programs against fakes: normal operation and
//! failures.

#[path = "processes/bad_input.rs"]
mod bad_input;
#[path = "processes/broken_off.rs"]
mod broken_off;
#[path = "processes/caller.rs"]
mod caller;
#[path = "processes/config.rs"]
mod config;
#[path = "processes/cuts.rs"]
mod cuts;
#[path = "processes/death_news.rs"]
mod death_news;
#[path = "processes/death_reports.rs"]
mod death_reports;
#[path = "processes/horizon.rs"]
mod horizon;
#[path = "processes/leaving.rs"]
mod leaving;
#[path = "processes/moving.rs"]
mod moving;
#[path = "processes/once.rs"]
mod once;
#[path = "processes/played_entry.rs"]
mod played_entry;
#[path = "processes/poison.rs"]
mod poison;
#[path = "processes/refused_suspect.rs"]
mod refused_suspect;
#[path = "processes/stopping.rs"]
mod stopping;
#[path = "processes/testbed.rs"]
mod testbed;
#[path = "processes/whole.rs"]
mod whole;
#[path = "processes/zones.rs"]
mod zones;
