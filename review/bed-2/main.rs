//! The cases' programs: `bed-2 CASE` plays one case; see `claim.txt` in the case's folder.

mod bed;
mod early;
mod http;
mod leave;
mod poison;
mod server;
mod store;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let bed = bed::Bed::new();
    let result = match case.as_str() {
        "drill" => leave::run(&bed, leave::Cause::Drill),
        "late-beat" => leave::run(&bed, leave::Cause::LateBeat),
        "early" => early::run(&bed),
        "poison" => poison::run(&bed),
        _ => 2,
    };
    bed.record.say(match result {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case couldn't run",
    });
    std::process::exit(result);
}
