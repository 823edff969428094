//! Stand-ins and clients of the review's cases. The first argument names the case.

mod bed;
mod client;
mod departed;
mod early;
mod grey;
mod http;
mod moved;
mod poison;
mod server;
mod store;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("grey") => grey::run(),
        Some("early") => early::run(),
        Some("departed") => departed::run(),
        Some("moved") => moved::run(),
        Some("poison") => poison::run(),
        other => {
            eprintln!("no such case: {other:?}");
            std::process::exit(bed::NOT_RUN);
        }
    }
}
