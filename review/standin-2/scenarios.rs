//! The scenarios of the cases.

use std::{
    collections::BTreeMap,
    io::Write,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Record,
    client::{Client, request},
    member,
    store::Store,
    worker::Worker,
};

pub fn run(name: &str, record: &Record, has_trouble: bool) -> Outcome {
    let result = match name {
        "planned-stop" => planned_stop(record, has_trouble),
        "foreign-entry" => foreign_entry(record, has_trouble),
        "leaving-worker" => leaving_worker(record, has_trouble),
        "withdrawn-key" => withdrawn_key(record, has_trouble),
        other => Err(format!("no scenario `{other}`")),
    };
    result.unwrap_or_else(Outcome::NotRun)
}

// Returns a configuration with a service of plain workers and one of model workers.
fn config(version: u64, timeout_ms: u64, second_key: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"desk.example\",\"Prefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":1000,\"Priority\":1,\"Service\":\"desk\",\"MaxAttempts\":{attempts},\"Public\":false}}"
        )
    };
    format!(
        "{{\"Version\":{version},\"Routes\":[{},{},{{\"Name\":\"draft\",\"Host\":\"desk.example\",\"Prefix\":\"/draft/\",\"Kind\":\"streaming\",\"TimeoutMs\":4000,\"TargetLatencyMs\":500,\"Priority\":1,\"Service\":\"models\",\"MaxAttempts\":2,\"Public\":false,\"Sticky\":true,\"Resumable\":true,\"GapTargetMs\":300}}],\"Services\":[{{\"Name\":\"models\",\"HealthPath\":\"/healthz\",\"MaxConnections\":370,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":64,\"KvCapacityTokens\":138739,\"KvTokenBytes\":18432,\"LinkMbps\":130000.0,\"Moves\":true,\"Backups\":true,\"Stride\":5,\"MaxInflight\":12,\"PinMs\":4000.0,\"HoldMs\":2000.0,\"handle_s\":5.0,\"Models\":[{{\"Name\":\"m\"}}]}}}},{{\"Name\":\"desk\",\"HealthPath\":\"/healthz\",\"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"one\",\"ApiKeys\":[\"key-one\"],\"Priority\":1,\"Unit\":\"tokens\",\"PlainTokens\":200,\"Isolated\":false,\"RatePerS\":0,\"Burst\":0}},{{\"Name\":\"two\",\"ApiKeys\":[\"{second_key}\"],\"Priority\":1,\"Unit\":\"tokens\",\"PlainTokens\":200,\"Isolated\":false,\"RatePerS\":0,\"Burst\":0}}]}}",
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
    store.put("op/config", &config(1, 12_000, "key-two"));
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
            client.send(&request(
                "GET",
                "/look/800",
                &format!("warm-{number}"),
                "X-Deadline-Ms: 12000\r\n",
                "",
            ))?;
            client.read(|_| ())?;
            record.line(format!("{id} sent on a kept channel, for {size} bytes"));
            let sent = Instant::now();
            client.send(&request(
                "GET",
                &format!("/look/{size}"),
                &id,
                "X-Deadline-Ms: 12000\r\n",
                "",
            ))?;
            let mut read = 0;
            let answer = client.read(|bytes| {
                read += bytes;
                let due = Duration::from_secs_f64(read as f64 / STOP_READ_RATE);
                thread::sleep(due.saturating_sub(sent.elapsed()));
            });
            let text = match &answer {
                Some(answer) => format!(
                    "status {}, {} of {:?} bytes, complete {}",
                    answer.status,
                    answer.body.len(),
                    answer.length,
                    answer.is_complete
                ),
                None => "channel closed without an answer".to_string(),
            };
            record.line(format!(
                "{id} ended {:.3} s after it was sent: {text}",
                sent.elapsed().as_secs_f64()
            ));
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

/// How long the store is away, how old the copy is with which it returns, and when the operator has written its entries again.
const STORE_AWAY: Duration = Duration::from_millis(300);
const COPY_AGE: Duration = Duration::from_millis(6_500);
const OPERATOR_REWRITES: Duration = Duration::from_millis(1_000);

/// `Bounds.RevokeMs`.
const REVOKE: Duration = Duration::from_millis(5_000);

// The store returns from a copy that is older than the withdrawal of a key, and one router starts again at that moment.
fn withdrawn_key(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let store = Store::start();
    store.put("op/config", &config(1, 4_000, "key-two"));
    let worker = Worker::start(&store, "i-1", "desk", "a", |worker, call, stream| {
        worker.run(call, stream, b"found")
    });
    let mut members = member::start(&store, 3, "")?;
    thread::sleep(Duration::from_millis(3_500));
    let two = |id: &str| {
        request("GET", "/look/x", id, "X-Deadline-Ms: 4000\r\n", "").replace("key-one", "key-two")
    };
    let call = |member: usize, id: &str, members: &[member::Member]| {
        let sent = Instant::now();
        let answer = Client::connect(members[member].front).and_then(|mut client| {
            client.send(&two(id))?;
            client.read(|_| ())
        });
        let status = answer.map_or(0, |answer| answer.status);
        record.line(format!("{id} with key-two to {}: {status}", members[member].name));
        (id.to_string(), sent, status)
    };
    if call(0, "before", &members).2 != 200 {
        return Err("key-two isn't accepted at the beginning".into());
    }
    store.make_copy();
    let copied = Instant::now();
    thread::sleep(Duration::from_millis(400));
    let confirmed = store.put("op/config", &config(2, 4_000, "key-three"));
    record.line("configuration 2, which takes key-two away, is confirmed");
    thread::sleep(Duration::from_millis(3_000));
    for member in 0..3 {
        if call(member, &format!("after-{member}"), &members).2 != 401 {
            return Err("key-two is still accepted without any disruption".into());
        }
    }
    thread::sleep((copied + COPY_AGE - STORE_AWAY).saturating_duration_since(Instant::now()));
    if has_trouble {
        record.line("the store is away");
        store.set_silent(true);
        thread::sleep(STORE_AWAY - Duration::from_millis(50));
        record.line(format!("{} is killed", members[0].name));
        members[0].signal("KILL");
        members[0].wait_end(Duration::from_secs(2));
        store.restore();
        store.set_silent(false);
        record.line(format!(
            "the store is back, from a copy that is {:.1} s old",
            copied.elapsed().as_secs_f64()
        ));
        members[0].start_again()?;
        record.line(format!("{} starts again", members[0].name));
    }
    let back = Instant::now();
    let mut sent = Vec::new();
    let mut is_rewritten = false;
    let mut number = 0;
    while back.elapsed() < Duration::from_secs(6) {
        if !is_rewritten && back.elapsed() >= OPERATOR_REWRITES {
            is_rewritten = true;
            if has_trouble {
                store.put("op/config", &config(2, 4_000, "key-three"));
                record.line("the operator has written configuration 2 again");
            }
        }
        for member in 0..3 {
            number += 1;
            sent.push(call(member, &format!("late-{number}"), &members));
        }
        thread::sleep(Duration::from_millis(60));
    }
    let runs: Vec<String> = worker.arrivals().into_iter().map(|arrival| arrival.id).collect();
    let late: Vec<&str> = sent
        .iter()
        .filter(|(id, at, _)| *at > confirmed + REVOKE && runs.contains(id))
        .map(|(id, ..)| id.as_str())
        .collect();
    record.line(format!(
        "{} of {} requests with key-two ran, sent later than RevokeMs after the confirmation",
        late.len(),
        sent.len()
    ));
    Ok(match late.is_empty() {
        true => Outcome::Held,
        false => {
            Outcome::Broken(format!("CONFIG: {} requests with a withdrawn key ran", late.len()))
        }
    })
}

/// The rounds of requests, the requests of one, the time before one in which an entry is replaced, and the time to the first token.
const PROMPT_ROUNDS: usize = 6;
const ROUND_REQUESTS: usize = 8;
const REPLACED_BEFORE: Duration = Duration::from_millis(150);
const FIRST_TOKEN: Duration = Duration::from_millis(100);

/// The parts of a prompt in a worker's cache, by the text of `X-Cache-Salt`, with the tenant whose request made each.
type PartCache = BTreeMap<(Option<String>, String), String>;

// Another writer replaces the entry of a model worker by one without `Models`, while an isolated tenant and another one send
// prompts with the same parts.
fn foreign_entry(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let store = Store::start();
    store.put("op/version/m", "{\"Model\":\"m\",\"Version\":1}");
    let config = config(1, 4_000, "key-two");
    let (first, second) = config.split_at(config.find("\"two\"").ok_or("no tenant two")?);
    let second = second.replacen("\"Isolated\":false", "\"Isolated\":true", 1);
    store.put("op/config", &format!("{first}{second}"));
    let shared = Arc::new(Mutex::new(Vec::new()));
    let workers: Vec<Worker> = (0..2)
        .map(|number| {
            let (record, shared) = (record.clone(), shared.clone());
            let cache = Mutex::new(PartCache::new());
            Worker::start(&store, &format!("i-model-{number}"), "models", "a", move |worker, call, stream| {
                worker.record(call);
                let header = |name: &str| call.header(name).map(str::to_string);
                let (salt, tenant) = (header("x-cache-salt"), header("x-tenant-id").unwrap_or_default());
                let id = header("x-request-id").unwrap_or_default();
                record.line(format!("{id} of {tenant} runs at {} with salt {salt:?}, version {:?}", worker.id, header("x-expect-version")));
                let prompt = header("x-prefix-hash").unwrap_or_default();
                let parts: Vec<(Option<String>, String)> = prompt
                    .split(',')
                    .map(|part| (salt.clone(), part.split(':').next().unwrap_or_default().to_string()))
                    .collect();
                for part in &parts {
                    let Some(maker) = cache.lock().unwrap().get(part).cloned() else { break };
                    if maker != tenant {
                        shared.lock().unwrap().push(format!("{id} of {tenant} uses part {} of {maker}", part.1));
                    }
                }
                // The parts are kept once they are read.
                thread::sleep(FIRST_TOKEN);
                for part in parts {
                    cache.lock().unwrap().entry(part).or_insert_with(|| tenant.clone());
                }
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{}X-Server-Stamp: 3e1b.{}\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                    worker.echo(call), worker.id
                );
                let events: String = (1..=3)
                    .map(|id| format!("id: {id}\ndata: token\n\n"))
                    .map(|event| format!("{:x}\r\n{event}\r\n", event.len()))
                    .collect();
                stream.write_all(format!("{head}{events}0\r\n\r\n").as_bytes()).is_ok()
            })
        })
        .collect();
    let members = member::start(&store, 2, "")?;
    thread::sleep(Duration::from_millis(3_500));
    for round in 0..PROMPT_ROUNDS {
        if has_trouble {
            for worker in &workers {
                store.put(&format!("servers/{}", worker.id), &worker.entry_without_models());
            }
            record
                .line("another writer replaces the entries of both workers by ones without Models");
        }
        thread::sleep(REPLACED_BEFORE);
        let clients: Vec<_> = (0..ROUND_REQUESTS)
            .map(|number| {
                let (front, record) = (members[number % 2].front, record.clone());
                thread::spawn(move || {
                    let key = if number / 2 % 2 == 0 { "key-one" } else { "key-two" };
                    let id = format!("draft-{round}-{number}");
                    let prompt = format!("X-Model: m\r\nX-Token-Usage: 1460,80\r\nX-Prefix-Hash: 5c1e:800,91bd:410,{round}{number}:250\r\nX-Deadline-Ms: 4000\r\n");
                    let text = request("POST", "/draft/x", &id, &prompt, "a prompt");
                    let answer = Client::connect(front).and_then(|mut client| {
                        client.send(&text.replace("key-one", key))?;
                        client.read(|_| ())
                    });
                    let status = answer.map(|answer| (answer.status, answer.is_complete));
                    record.line(format!("{id} answered {status:?}"));
                })
            })
            .collect();
        for client in clients {
            client.join().map_err(|_| "a client failed")?;
        }
        thread::sleep(Duration::from_millis(1_500));
    }
    let shared = shared.lock().unwrap();
    for line in shared.iter() {
        record.line(line);
    }
    Ok(match shared.first() {
        None => Outcome::Held,
        Some(first) => Outcome::Broken(format!("WALL: {} times, first: {first}", shared.len())),
    })
}

/// `Bounds.DrainMs`.
const DRAIN: Duration = Duration::from_millis(2_500);

// Another writer replaces the entry of a worker that is leaving by one without `born`.
fn leaving_worker(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let store = Store::start();
    store.put("op/config", &config(1, 4_000, "key-two"));
    let workers: Vec<Worker> = (1..=2)
        .map(|number| {
            Worker::start(&store, &format!("i-{number}"), "desk", "a", |worker, call, stream| {
                worker.record(call);
                thread::sleep(Duration::from_millis(60));
                let leaving = if worker.is_leaving() { "Server-Leaving: 1\r\n" } else { "" };
                let extra =
                    format!("{}X-Server-Stamp: 3e1b.{}\r\n{leaving}", worker.echo(call), worker.id);
                worker.write(stream, 200, &extra, b"found")
            })
        })
        .collect();
    let members = member::start(&store, 2, "")?;
    thread::sleep(Duration::from_millis(3_500));
    // The requests: the member, when each was sent, and when an answer said that its worker leaves.
    let sent = Arc::new(Mutex::new(Vec::<(usize, String, Instant, Option<Instant>)>::new()));
    let mut clients = Vec::new();
    let start = Instant::now();
    let (mut is_leaving, mut is_draining, mut replaced) = (false, false, None::<Instant>);
    for number in 0.. {
        let at = start.elapsed();
        if at >= Duration::from_secs(10) {
            break;
        }
        if !is_leaving && at >= Duration::from_millis(1_000) {
            is_leaving = true;
            workers[0].leave();
            record.line("i-1 says in its answers that it is leaving");
        }
        if !is_draining && at >= Duration::from_millis(1_100) {
            is_draining = true;
            workers[0].drain(&store);
            record.line("i-1 reports that it is draining");
        }
        // Shortly after a heartbeat, so that the next one doesn't follow at once.
        let is_fresh = workers[0].since_beat().is_some_and(|age| age < Duration::from_millis(100));
        if replaced.is_none() && at >= Duration::from_millis(5_500) && is_fresh {
            if has_trouble {
                store.put("servers/i-1", &workers[0].entry_without_born());
                record.line("another writer replaces the entry of i-1 by a ready one without born");
            }
            replaced = Some(Instant::now());
            thread::sleep(Duration::from_millis(200));
        }
        let member = number % 2;
        let (front, sent) = (members[member].front, sent.clone());
        clients.push(thread::spawn(move || {
            let id = format!("look-{number}");
            let at = Instant::now();
            let answer = Client::connect(front).and_then(|mut client| {
                client.send(&request("GET", "/look/x", &id, "X-Deadline-Ms: 4000\r\n", ""))?;
                client.read(|_| ())
            });
            let is_told = answer.is_some_and(|answer| answer.header("server-leaving") == Some("1"));
            sent.lock().unwrap().push((member, id, at, is_told.then(Instant::now)));
        }));
        // Many come at once after the entry was replaced.
        let is_crowd = replaced.is_some_and(|at| at.elapsed() < Duration::from_millis(300));
        thread::sleep(Duration::from_millis(if is_crowd { 2 } else { 20 }));
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let sent = sent.lock().unwrap();
    let arrivals = workers[0].arrivals();
    let mut late = Vec::new();
    let mut told_members = 0;
    for member in 0..members.len() {
        let told = sent.iter().filter(|(other, ..)| *other == member).filter_map(|row| row.3).min();
        // A member that passed on no such answer is not bound by it.
        let Some(told) = told else { continue };
        told_members += 1;
        record.line(format!("{} passed on an answer with Server-Leaving", members[member].name));
        for (_, id, at, _) in sent.iter().filter(|(other, ..)| *other == member) {
            if *at > told + DRAIN && arrivals.iter().any(|arrival| arrival.id == *id) {
                let after = at.duration_since(told).as_secs_f64();
                record.line(format!(
                    "{id} reached i-1 through {}, sent {after:.3} s after that",
                    members[member].name
                ));
                late.push(id.clone());
            }
        }
    }
    if told_members == 0 {
        return Err("no answer said that its worker leaves".into());
    }
    Ok(match late.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken(format!(
            "DRAIN: {} requests reached a worker that was leaving",
            late.len()
        )),
    })
}
