//! Requests are routed by host and longest path prefix, and API keys identify workspaces.

use limpetmux::core::catalog::{
    CallerLimits, Catalog, CatalogSpec, RetryClass, Route, WorkspaceSpec,
};
use std::time::Duration;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        retry_class: RetryClass::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        attempts: 2,
        priority: 1,
        targets: vec![("plain".into(), 1)],
        stages: Vec::new(),
        public: name == "open",
    }
}

fn catalog() -> Catalog {
    let key = "k1".to_owned();
    let workspace = WorkspaceSpec { name: "w".into(), keys: vec![key], priority: Some(0) };
    catalog_of(Some(vec![workspace]))
}

fn catalog_of(workspaces: Option<Vec<WorkspaceSpec>>) -> Catalog {
    let limits = CallerLimits {
        max_header: 16_384,
        max_body: 1_000,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let routes = vec![route("short", "/a/"), route("long", "/a/b/"), route("open", "/open/")];
    Catalog::compile(CatalogSpec { version: 3, routes, pools: Vec::new(), workspaces, limits })
}

fn route_name(catalog: &Catalog, host: &str, path: &str) -> Option<String> {
    catalog.route(host, path).map(|r| catalog.routes[r].name.to_string())
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let catalog = catalog();

    let names = [("/a/x", "short"), ("/a/b/x", "long"), ("/a/bx", "short")];

    for (path, name) in names {
        assert_eq!(route_name(&catalog, "a.example", path).as_deref(), Some(name), "{path}");
    }
    assert_eq!(route_name(&catalog, "a.example", "/ab"), None);
    assert_eq!(route_name(&catalog, "b.example", "/a/x"), None);
}

#[test]
fn keys_identify_their_holder_and_public_routes_need_none() {
    let catalog = catalog();

    let holder = catalog.holder("k1").cloned();

    assert_eq!(holder.map(|h| (h.workspace.to_string(), h.priority)), Some(("w".into(), Some(0))));
    assert_eq!(catalog.holder("k2"), None);
    assert_eq!(["/a/x", "/open/x"].map(|path| needs_key(&catalog, path)), [true, false]);
}

fn needs_key(catalog: &Catalog, path: &str) -> bool {
    let route = catalog.route("a.example", path).expect("a route");
    catalog.needs_key(&catalog.routes[route])
}

#[test]
fn list_without_workspaces_opens_no_route() {
    // Guards against routes that are open to everybody once the last workspace is taken away (rule CONFIG).
    let without_keys = WorkspaceSpec { name: "w".into(), keys: Vec::new(), priority: None };

    let catalogs = [None, Some(Vec::new()), Some(vec![without_keys])].map(catalog_of);

    assert_eq!(catalogs.each_ref().map(|c| needs_key(c, "/a/x")), [false, true, true]);
    assert_eq!(catalogs.each_ref().map(|c| needs_key(c, "/open/x")), [false; 3]);
}
