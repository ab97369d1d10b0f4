//! The OpenAPI page that the entry serves matches its routes and refusal codes.

use limpetmux::core::refusal::{Execution, RefusalCode};
use limpetmux::entry::{OPENAPI, ROUTES};
use serde_json::Value;
use strum::VariantArray;

fn page() -> Value {
    serde_json::from_str(OPENAPI).unwrap()
}

fn strings(values: &Value) -> Vec<String> {
    values.as_array().unwrap().iter().map(|v| v.as_str().unwrap().to_owned()).collect()
}

#[test]
fn paths_match_the_routes() {
    let page = page();
    let mut described: Vec<(String, String)> = Vec::new();
    for (path, methods) in page["paths"].as_object().unwrap() {
        let names = methods.as_object().unwrap().keys();
        described.extend(names.map(|method| (method.clone(), path.clone())));
    }

    let to_page = |path: &str| {
        let part = |p: &str| match p.strip_prefix(':') {
            Some(name) => format!("{{{name}}}"),
            None => p.to_owned(),
        };
        path.split('/').map(part).collect::<Vec<_>>().join("/")
    };
    let mut routes: Vec<(String, String)> =
        ROUTES.iter().map(|(method, path)| (method.to_string(), to_page(path))).collect();
    routes.sort();
    described.sort();
    assert_eq!(described, routes);
}

#[test]
fn codes_match_the_refusals() {
    let page = page();
    let problem = &page["components"]["schemas"]["Problem"]["properties"];

    let codes: Vec<String> = RefusalCode::VARIANTS.iter().map(|c| c.to_string()).collect();
    let executions: Vec<String> = Execution::VARIANTS.iter().map(|e| e.to_string()).collect();

    assert_eq!(strings(&problem["code"]["enum"]), codes);
    assert_eq!(strings(&problem["execution"]["enum"]), executions);
}
