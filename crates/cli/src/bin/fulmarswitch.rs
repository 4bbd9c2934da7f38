//! The program `fulmarswitch`: parses the command line, runs the command and sets the exit code.

use bpaf::{Args, ParseFailure};
use fulmarswitch_cli::commands;
use fulmarswitch_cli::error::USAGE_EXIT_CODE;
use fulmarswitch_cli::options::command_options;
use std::process::ExitCode;

/// Width at which help texts are wrapped, in characters.
const HELP_WIDTH: usize = 100;

#[tokio::main]
async fn main() -> ExitCode {
    let options = match command_options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            return match failure {
                ParseFailure::Stderr(_) => ExitCode::from(USAGE_EXIT_CODE),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
            };
        }
    };
    match commands::run(options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fulmarswitch: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
