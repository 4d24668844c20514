//! What the cases have in common: the configuration.

/// A route of a configuration. `targets` is its `service` or `trafficSplit`.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub is_resumable: bool,
    pub timeout_ms: u64,
    pub targets: &'a str,
}

/// A configuration with these routes and services, none of which moves generations.
pub fn configuration(routes: &[Route], services: &[&str]) -> String {
    let route = |route: &Route| {
        let Route { prefix, kind, is_resumable, timeout_ms, targets } = route;
        format!(
            "{{\"name\":\"r{}\",\"host\":\"case.example\",\"pathPrefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"resumable\":{is_resumable},\"timeoutMs\":{timeout_ms},\
             \"targetLatencyMs\":1500,\"gapAimMs\":180,\"priority\":1,\"maxAttempts\":2,\
             \"public\":true,\"sticky\":true,{targets}}}",
            prefix.trim_matches('/').replace('/', "-")
        )
    };
    let service = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":382,\
             \"engine\":{{\"slots\":64,\"kvCapacityTokens\":34443,\"kvTokenBytes\":18432,\
             \"linkMbps\":2700.0,\"moves\":false,\"stride\":4}}}}"
        )
    };
    let routes: Vec<_> = routes.iter().map(route).collect();
    let services: Vec<_> = services.iter().map(service).collect();
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
