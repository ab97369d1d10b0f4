//! A configuration whose list of workspaces is empty, which leaves no key that could be accepted.

use super::node_fixture::{Fixture, config, fixture, settings};
use limpetmux::platform::orders::decode_config;
use limpetmux::serve::run::start;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The time in which a change that the store has acknowledged has to be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// The pause between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// Returns a version of the configuration with another list of workspaces, or with none, and a route that
/// needs no key.
fn with_workspaces(version: u32, list: Option<&str>) -> String {
    let text = config(version, "k1");
    let (rest, _) = text.split_once("\"tenants\"").expect("a list");
    let open =
        rest.replace(r#""kind":"non_idempotent""#, r#""public":true,"kind":"non_idempotent""#);
    match list {
        Some(list) => format!(r#"{open}"tenants":{list}}}"#),
        None => format!("{}}}", open.trim_end().trim_end_matches(',')),
    }
}

impl Fixture {
    /// Returns the statuses for the key of the first version, for one that never was one, and of a route that
    /// needs none.
    async fn statuses(&self, name: &str) -> [u16; 3] {
        let known = self.post("/safe/x", &format!("{name}-known"));
        let unknown = self.post("/safe/x", &format!("{name}-unknown"));
        let unknown =
            unknown.headers([("authorization", "Bearer no-key")].into_iter().map(header).collect());
        let open = self.post("/once/x", &format!("{name}-open"));
        let mut statuses = [0; 3];
        for (status, request) in statuses.iter_mut().zip([known, unknown, open]) {
            *status = request.send().await.expect("an answer").status().as_u16();
        }
        statuses
    }

    /// Waits until requests get certain statuses.
    async fn wait_statuses(&self, name: &str, statuses: [u16; 3]) {
        let (began, mut number) = (Instant::now(), 0);
        loop {
            let now = self.statuses(&format!("{name}-{number}")).await;
            if now == statuses {
                return;
            }
            assert!(began.elapsed() < APPLY_TIME, "{name}: {now:?} instead of {statuses:?}");
            number += 1;
            sleep(PAUSE).await;
        }
    }
}

fn header(
    (name, value): (&'static str, &'static str),
) -> (reqwest::header::HeaderName, reqwest::header::HeaderValue) {
    (name.parse().expect("a name"), value.parse().expect("a value"))
}

#[tokio::test(flavor = "multi_thread")]
async fn routes_stay_closed_when_the_last_workspace_is_taken_away() {
    // Guards against routes that serve any key once the list of workspaces is empty (rule CONFIG), at nodes
    // that read the store or another node, and at one that starts then.
    let fixture = fixture().await;
    fixture.store.put("keyed.op", "config", &with_workspaces(2, Some("[]")));
    fixture.wait_statuses("empty", [401, 401, 200]).await;

    let seeds = vec![fixture.sidecar.node_addr];
    let other = start(settings("other", fixture.store.addr, true, seeds)).await.expect("a node");
    while !other.is_ready() {
        sleep(PAUSE).await;
    }
    let fixture = Fixture { entry: other, ..fixture };
    let started = fixture.statuses("started").await;
    let back = r#"[{"name":"w1","api-keys":["k1"]}]"#;
    fixture.store.put("keyed.op", "config", &with_workspaces(3, Some(back)));

    assert_eq!(started, [401, 401, 200]);
    fixture.wait_statuses("back", [200, 401, 200]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_without_a_list_of_workspaces_needs_no_keys() {
    // Guards against the opposite: routes of a configuration that has no workspaces are open.
    let fixture = fixture().await;

    fixture.store.put("keyed.op", "config", &with_workspaces(2, None));

    fixture.wait_statuses("open", [200, 200, 200]).await;
}

#[test]
fn null_is_no_list_of_workspaces() {
    // Guards against a field without a value that opens all routes; such a version is not put in force.
    let decode = |list| decode_config(with_workspaces(2, list).as_bytes(), super::pos(1)).is_ok();

    assert_eq!([None, Some("[]"), Some("null")].map(decode), [true, true, false]);
}
