//! Stand-ins of the platform's store, of backend servers and of clients, and the cases that use them.
//!
//! `kit CASE FOLDER` starts the project's nodes as processes on loopback addresses, runs one case and
//! writes `record.txt` into FOLDER. It exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. With TROUBLE=0 in the environment the disruption is left out.

mod cases;
mod fleet;
mod http;
mod killed;
mod server;
mod store;

use std::panic::catch_unwind;
use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: kit CASE FOLDER");
        exit(2);
    };
    if case == "serve" {
        // Runs a backend server as a process of its own: kit serve ADDR ID
        let served = args[2..].first().zip(args[3..].first()).map(|(a, i)| killed::serve(a, i));
        exit(i32::from(served.is_none_or(|s| s.is_err())) * 2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    // A stand-in that fails is no broken rule.
    let ran = catch_unwind(|| cases::run(case, folder, trouble));
    match ran.unwrap_or_else(|_| Err(std::io::Error::other("a stand-in failed"))) {
        Ok(broken) => {
            println!("{}", if broken { "the rule was broken" } else { "the rule held" });
            exit(i32::from(broken));
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            exit(2);
        }
    }
}
