//! Checks that the committed generated code matches `proto/peer.proto`.
//!
//! Run with `SEQUOIAWELL_REGENERATE=1` to regenerate the committed file.

use std::fs;
use std::path::Path;

#[test]
fn committed_code_matches_the_proto_file() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let descriptors =
        protox::compile([root.join("proto/peer.proto")], [root.join("proto")]).unwrap();
    let out = std::env::temp_dir().join(format!("sequoiawell-peer-{}", std::process::id()));
    fs::create_dir_all(&out).unwrap();
    tonic_prost_build::configure().out_dir(&out).compile_fds(descriptors).unwrap();
    let generated = fs::read_to_string(out.join("sequoiawell.peer.rs")).unwrap();
    fs::remove_dir_all(&out).unwrap();
    let committed = root.join("src/generated/sequoiawell.peer.rs");
    if std::env::var_os("SEQUOIAWELL_REGENERATE").is_some() {
        fs::write(&committed, &generated).unwrap();
    }
    assert_eq!(fs::read_to_string(committed).unwrap(), generated);
}
