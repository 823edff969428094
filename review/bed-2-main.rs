//! The cases' programs: `bed-2 CASE` plays one case; see `claim.txt` in the case's folder.

#[path = "bed-2-bed.rs"]
mod bed;
#[path = "bed-2-http.rs"]
mod http;
#[path = "bed-2-leave.rs"]
mod leave;
#[path = "bed-2-lost.rs"]
mod lost;
#[path = "bed-2-order.rs"]
mod order;
#[path = "bed-2-poison.rs"]
mod poison;
#[path = "bed-2-server.rs"]
mod server;
#[path = "bed-2-store.rs"]
mod store;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let bed = bed::Bed::new();
    let result = match case.as_str() {
        "lost-machines" => lost::run(&bed),
        "late-beat" => leave::run(&bed),
        "bad-later" => order::run(&bed, order::BAD_LATER),
        "order-back" => order::run(&bed, order::ORDERED_BACK),
        "dark-poison" => poison::run(&bed),
        _ => 2,
    };
    bed.record.say(match result {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case couldn't run",
    });
    std::process::exit(result);
}
