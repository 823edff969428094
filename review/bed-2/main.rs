//! The cases' programs: `bed-2 CASE` plays one case; see `claim.txt` in the case's folder.

mod bed;
mod http;
mod leave;
mod lost;
mod order;
mod poison;
mod server;
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
