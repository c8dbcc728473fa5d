//! The `corianderstand` binary; see [`corianderstand_cli`].

fn main() -> std::process::ExitCode {
    corianderstand_cli::run(std::env::args().skip(1)).into()
}
