//! Requests to the operator addresses of routers.

use std::{collections::BTreeMap, time::Duration};

use awc::Client;
use futures_util::future::join_all;
use serde::Serialize;
use serde_json::Value;

/// The timeout of a request to a router.
const ANSWER_TIMEOUT_MS: u64 = 2_000;

/// The largest response body that is read.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A router's answer to one request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RouterAnswer {
    /// The operator address of the router, as given on the command line or in the environment.
    pub(crate) router: String,
    /// The HTTP status, or `None` if the router can't be reached.
    pub(crate) status: Option<u16>,
    /// The response body; null if there is none or it isn't JSON.
    pub(crate) answer: Value,
}

impl RouterAnswer {
    /// Returns whether the router answered with HTTP 200.
    pub(crate) fn is_success(&self) -> bool {
        self.status == Some(200)
    }

    /// Returns the generation in force on the router, if its answer states one.
    pub(crate) fn generation(&self) -> Option<u64> {
        self.answer["generation"].as_u64()
    }
}

/// The progress of the routers of one zone towards a generation.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub(crate) struct ZoneReport {
    /// The routers of the zone: those that were queried, or those that a queried router knows of.
    pub(crate) routers: u64,
    /// The routers whose generation is known.
    #[serde(rename = "heard")]
    pub(crate) reporting: u64,
    /// The lowest generation in force among the reporting routers.
    #[serde(rename = "lowest")]
    pub(crate) lowest_generation: u64,
}

impl ZoneReport {
    /// Returns whether `generation` or a later one is in force on every router of the zone.
    pub(crate) fn is_in_force(&self, generation: u64) -> bool {
        self.routers > 0 && self.reporting == self.routers && self.lowest_generation >= generation
    }

    fn add_router(&mut self, generation: Option<u64>) {
        self.routers += 1;
        if let Some(generation) = generation {
            self.lowest_generation = if self.reporting == 0 {
                generation
            } else {
                self.lowest_generation.min(generation)
            };
            self.reporting += 1;
        }
    }
}

/// Sends `GET path` to all routers concurrently and returns their answers in the order of `routers`.
pub(crate) async fn query_routers(routers: &[String], path: &str) -> Vec<RouterAnswer> {
    let limit = Duration::from_millis(ANSWER_TIMEOUT_MS);
    let client = Client::builder().timeout(limit).disable_redirects().finish();
    let client = &client;
    let requests = routers.iter().map(|router| async move {
        let has_scheme = router.contains("://");
        let base = if has_scheme { router.clone() } else { format!("http://{router}") };
        let url = format!("{}{path}", base.trim_end_matches('/'));
        let mut answer = RouterAnswer { router: router.clone(), status: None, answer: Value::Null };
        if let Ok(mut response) = client.get(url).send().await {
            answer.status = Some(response.status().as_u16());
            let body = response.body().limit(MAX_ANSWER_BYTES).await.unwrap_or_default();
            answer.answer = serde_json::from_slice(&body).unwrap_or_default();
        }
        answer
    });
    join_all(requests).await
}

/// Returns the progress of each zone from the routers' `/admin/status` answers.
///
/// A router that knows the progress of whole zones reports it under `zones`. Without such a report a zone consists of
/// the queried routers.
pub(crate) fn group_by_zone(answers: &[RouterAnswer]) -> BTreeMap<String, ZoneReport> {
    let mut zones: BTreeMap<String, ZoneReport> = BTreeMap::new();
    for answer in answers {
        let zone = answer.answer["zone"].as_str().unwrap_or("-");
        let generation = answer.generation().filter(|_| answer.is_success());
        zones.entry(zone.into()).or_default().add_router(generation);
    }
    let known = answers.iter().filter_map(|answer| answer.answer["zones"].as_object());
    for (zone, progress) in known.flatten() {
        let number = |name: &str| progress[name].as_u64().unwrap_or(0);
        let reported = ZoneReport {
            routers: number("members"),
            reporting: number("heard"),
            lowest_generation: number("lowest"),
        };
        let entry = zones.entry(zone.clone()).or_default();
        // The report that covers more routers is the more complete one. Among reports of the same size, the one with more
        // reporting routers or a higher generation is the newer.
        if (reported.routers, reported.reporting, reported.lowest_generation)
            > (entry.routers, entry.reporting, entry.lowest_generation)
        {
            *entry = reported;
        }
    }
    zones
}
