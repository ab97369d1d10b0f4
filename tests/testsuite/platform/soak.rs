//! A short run of the fault soak over real processes; `docs/design/soak.md` describes long ones.

use limpetmux_soak::{Options, network, run};
use std::path::Path;
use std::time::Duration;

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_random_faults() {
    let options = Options {
        binary: env!("CARGO_BIN_EXE_limpetmux").into(),
        dir: Path::new(env!("CARGO_TARGET_TMPDIR")).join("soak"),
        seed: 3,
        length: Duration::from_secs(6),
        net: network(97, 0),
    };

    let report = run(&options).await.unwrap();

    assert!(report.faults > 0 && report.requests.1 > 0, "{report:?}");
    assert_eq!(report.violations, []);
}
