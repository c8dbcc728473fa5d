//! `cargo run -p reference` writes the generated sections of the operators' pages;
//! `cargo run -p reference -- --check` fails if they are out of date.

use std::{fs, path::Path, process::ExitCode};

fn main() -> ExitCode {
    let check = std::env::args().any(|arg| arg == "--check");
    let root = Path::new(".");
    let mut stale = false;
    for name in reference::PAGES {
        let page = reference::render_page(root, name);
        if !check {
            fs::write(name, page).expect("the page is writable");
        } else if fs::read_to_string(name).ok() != Some(page) {
            eprintln!("{name} is out of date: run `cargo run -p reference`");
            stale = true;
        }
    }
    if stale { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
