//! The scenarios of the cases.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Record,
    client::{Client, request},
    member::{self, Member},
    store::Store,
    worker::Worker,
};

pub fn run(name: &str, record: &Record, has_trouble: bool) -> Outcome {
    let result = match name {
        "planned-stop" => planned_stop(record, has_trouble),
        other => Err(format!("no scenario `{other}`")),
    };
    result.unwrap_or_else(Outcome::NotRun)
}

// Returns a configuration with a service of plain workers.
fn config(version: u64, timeout_ms: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"desk.example\",\"Prefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":1000,\"Priority\":1,\"Service\":\"desk\",\"MaxAttempts\":{attempts},\"Public\":false}}"
        )
    };
    format!(
        "{{\"Version\":{version},\"Routes\":[{},{}],\"Services\":[{{\"Name\":\"desk\",\"HealthPath\":\"/healthz\",\"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"one\",\"ApiKeys\":[\"key-one\"],\"Priority\":1,\"Unit\":\"tokens\",\"PlainTokens\":200,\"Isolated\":false,\"RatePerS\":0,\"Burst\":0}}]}}",
        route("look", "/look/", "idempotent", 2),
        route("book", "/book/", "non_idempotent", 1),
    )
}

/// The bytes of an answer, and the bytes per second at which its client reads.
const STOP_CLIENTS: usize = 12;
const STOP_READ_RATE: f64 = 64_000.0;

// One router gets SIGTERM while clients read answers that its worker has sent completely.
fn planned_stop(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let store = Store::start();
    store.put("op/config", &config(1, 12_000));
    let _worker = Worker::start(&store, "i-1", "desk", "a", |worker, call, stream| {
        let size = call.target.rsplit('/').next().and_then(|size| size.parse().ok()).unwrap_or(800);
        worker.run(call, stream, &vec![b'x'; size])
    });
    let mut members = member::start(&store, 2, "")?;
    // In touch: nothing is disturbed for ContactMs before.
    thread::sleep(Duration::from_millis(3_500));
    let front = members[0].front;
    let results = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..STOP_CLIENTS {
        let size = 300_000 + 7_000 * number;
        let (record, results) = (record.clone(), results.clone());
        clients.push(thread::spawn(move || {
            let id = format!("look-{number}");
            let mut client = Client::connect(front)?;
            client.set_receive_buffer(16_384);
            client.send(&request("GET", "/look/800", &format!("warm-{number}"), "X-Deadline-Ms: 12000\r\n", ""))?;
            client.read(|_| ())?;
            record.line(format!("{id} sent on a kept channel, for {size} bytes"));
            let sent = Instant::now();
            client.send(&request("GET", &format!("/look/{size}"), &id, "X-Deadline-Ms: 12000\r\n", ""))?;
            let mut read = 0;
            let answer = client.read(|bytes| {
                read += bytes;
                let due = Duration::from_secs_f64(read as f64 / STOP_READ_RATE);
                thread::sleep(due.saturating_sub(sent.elapsed()));
            });
            let text = match &answer {
                Some(answer) => format!(
                    "status {}, {} of {:?} bytes, complete {}",
                    answer.status, answer.body.len(), answer.length, answer.is_complete
                ),
                None => "channel closed without an answer".to_string(),
            };
            record.line(format!("{id} ended {:.3} s after it was sent: {text}", sent.elapsed().as_secs_f64()));
            let is_complete = answer.is_some_and(|answer| answer.is_complete);
            results.lock().unwrap().push((id, is_complete, sent.elapsed()));
            Some(())
        }));
    }
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        record.line(format!("SIGTERM to {}", members[0].name));
        members[0].signal("TERM");
        let ended = members[0].wait_end(Duration::from_secs(9));
        record.line(format!("{} ended after {ended:?}", members[0].name));
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let results = results.lock().unwrap();
    if results.len() != STOP_CLIENTS {
        return Err("a client couldn't send".into());
    }
    let limit = Duration::from_millis(12_000);
    let lost: Vec<&str> = results
        .iter()
        .filter(|(_, is_complete, elapsed)| !is_complete && *elapsed < limit)
        .map(|(id, ..)| id.as_str())
        .collect();
    Ok(match lost.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken(format!("LOST: no complete answer to {}", lost.join(", "))),
    })
}

#[allow(dead_code)]
fn all_alive(members: &mut [Member]) -> bool {
    members.iter_mut().all(|member| member.ended().is_none())
}
