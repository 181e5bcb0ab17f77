//! Asking routers on their addresses for operators.

use std::{collections::BTreeMap, time::Duration};

use awc::Client;
use futures_util::future::join_all;
use serde::Serialize;
use serde_json::Value;

/// The time within which a router must answer.
const ANSWER_LIMIT_MS: u64 = 2_000;

/// The largest answer.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// A router's answer to a question.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RouterAnswer {
    /// The router's address for operators.
    pub(crate) router: String,
    /// The HTTP status, or `None` when the router can't be reached.
    pub(crate) status: Option<u16>,
    /// The answer; null when there is none.
    pub(crate) answer: Value,
}

impl RouterAnswer {
    /// Returns whether the router gave what was asked for.
    pub(crate) fn is_found(&self) -> bool {
        self.status == Some(200)
    }

    /// Returns the generation in force at the router.
    pub(crate) fn generation(&self) -> Option<u64> {
        self.answer["generation"].as_u64()
    }
}

/// Where a generation is in force.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub(crate) struct ZoneReport {
    /// The routers of the zone that were asked or are known to the one that was.
    pub(crate) routers: u64,
    /// The routers that answered.
    pub(crate) heard: u64,
    /// The lowest generation among those.
    pub(crate) lowest: u64,
}

impl ZoneReport {
    pub(crate) fn has(&self, generation: u64) -> bool {
        self.routers > 0 && self.heard == self.routers && self.lowest >= generation
    }

    fn add(&mut self, generation: Option<u64>) {
        self.routers += 1;
        if let Some(generation) = generation {
            self.lowest = if self.heard == 0 { generation } else { self.lowest.min(generation) };
            self.heard += 1;
        }
    }
}

/// Asks all routers at once.
pub(crate) async fn ask(routers: &[String], path: &str) -> Vec<RouterAnswer> {
    let limit = Duration::from_millis(ANSWER_LIMIT_MS);
    let client = Client::builder().timeout(limit).disable_redirects().finish();
    let client = &client;
    let questions = routers.iter().map(|router| async move {
        let has_scheme = router.contains("://");
        let base = if has_scheme { router.clone() } else { format!("http://{router}") };
        let url = format!("{}{path}", base.trim_end_matches('/'));
        let mut answer = RouterAnswer { router: router.clone(), status: None, answer: Value::Null };
        if let Ok(mut response) = client.get(url).send().await {
            answer.status = Some(response.status().as_u16());
            let body = response.body().limit(ANSWER_LIMIT_BYTES).await.unwrap_or_default();
            answer.answer = serde_json::from_slice(&body).unwrap_or_default();
        }
        answer
    });
    join_all(questions).await
}

/// Returns where a generation is in force, by zone.
///
/// A router that knows the progress of whole zones states it under `zones`; otherwise each router counts for its
/// own zone only.
pub(crate) fn by_zone(answers: &[RouterAnswer]) -> BTreeMap<String, ZoneReport> {
    let mut zones: BTreeMap<String, ZoneReport> = BTreeMap::new();
    for answer in answers {
        let zone = answer.answer["zone"].as_str().unwrap_or("-");
        let generation = answer.generation().filter(|_| answer.is_found());
        zones.entry(zone.into()).or_default().add(generation);
    }
    let known = answers.iter().filter_map(|answer| answer.answer["zones"].as_object());
    for (zone, progress) in known.flatten() {
        let number = |name: &str| progress[name].as_u64().unwrap_or(0);
        let stated = ZoneReport {
            routers: number("members"),
            heard: number("heard"),
            lowest: number("lowest"),
        };
        let entry = zones.entry(zone.clone()).or_default();
        // The statement about more routers tells more; of equal ones the newer knowledge counts.
        if (stated.routers, stated.heard, stated.lowest)
            > (entry.routers, entry.heard, entry.lowest)
        {
            *entry = stated;
        }
    }
    zones
}
