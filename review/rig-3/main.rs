//! Test rig of the third review: stand-ins for the platform's store, servers and clients, and the
//! scripts that use them. Standard library only.
//!
//! Usage: `rig CASE FOLDER`, in the repository's root. It writes `record.txt` into the folder and
//! exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` the disruption is left out.

mod cases;
mod client;
mod fleet;
mod http;
mod record;
mod server;
mod store;

use std::path::Path;
use std::process::exit;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// Longest time of a script.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: rig CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Some(run) = cases::find(case) else {
        eprintln!("no case {case}");
        exit(2);
    };
    let record = match record::Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            exit(2);
        }
    };
    record.line(&format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    let (sender, receiver) = mpsc::channel();
    let fleet = fleet::Fleet::default();
    let (own_record, own_fleet) = (record.clone(), fleet.clone());
    thread::spawn(move || {
        let verdict = run(&own_record, &own_fleet, trouble);
        let _ = sender.send(verdict);
    });
    let verdict = match receiver.recv_timeout(TIME_LIMIT) {
        Ok(Ok(verdict)) => verdict,
        Ok(Err(error)) => {
            record.line(&format!("the case couldn't run: {error}"));
            fleet.stop();
            exit(2);
        }
        Err(_) => {
            record.line("the case couldn't run: no end in time, or a panic of the rig");
            fleet.stop();
            exit(2);
        }
    };
    fleet.stop();
    record.line(&format!("result: {}", if verdict { "rule held" } else { "rule broken" }));
    println!("{case}: {}", if verdict { "rule held" } else { "rule broken" });
    exit(i32::from(!verdict));
}
