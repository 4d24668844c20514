//! Maintenance tasks. `cargo run -p xtask` regenerates the prost types from `crates/wire/proto`.

use std::path::Path;

use derive_more::{Display, Error, From};

const PROTO_DIR: &str = "crates/wire/proto";
const GENERATED_DIR: &str = "crates/wire/src/generated";
const PROTO_FILES: [&str; 4] = ["cursor.proto", "log.proto", "news.proto", "peer.proto"];

/// An error while generating the types.
#[derive(Debug, Display, Error, From)]
enum XtaskError {
    /// The definitions do not compile.
    #[display("the definitions do not compile: {_0}")]
    Definitions(protox::Error),
    /// A generated file could not be written.
    #[display("the generated files could not be written: {_0}")]
    Output(std::io::Error),
}

fn main() -> Result<(), XtaskError> {
    let descriptors = protox::compile(PROTO_FILES, [PROTO_DIR])?;
    std::fs::create_dir_all(GENERATED_DIR)?;
    let mut config = prost_build::Config::new();
    config.bytes(["."]);
    config.out_dir(Path::new(GENERATED_DIR));
    config.compile_fds(descriptors)?;
    Ok(())
}
