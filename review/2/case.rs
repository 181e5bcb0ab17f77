//! A router is killed while it passes on a stream that has neither a length nor chunks; see claim.txt.

#[path = "../standin/mod.rs"]
mod standin;

use std::{
    thread::{self, sleep},
    time::Duration,
};

use standin::{
    Outcome, config,
    engine::{Answers, Engine},
    eventually, folders, has_trouble,
    http::{Answer, Client},
    json::{number, table, text},
    member::{Fleet, Member, SIGKILL},
    record::Record,
    store::Store,
    tenant,
};

const PATIENCE: Duration = Duration::from_secs(15);

/// The events of each answer and the time between them.
const EVENTS: u64 = 30;
const PAUSE: Duration = Duration::from_millis(100);

/// The requests of the run, half of them on each of two routes.
const REQUESTS: usize = 80;

/// One of so many answers of a worker has neither a length nor chunks.
const UNFRAMED_EACH: usize = 20;

fn ask(record: &Record, front: std::net::SocketAddr, index: usize) -> Option<Answer> {
    let (id, body) = (format!("c{index}"), "a prompt");
    let route = ["check", "draft"][index % 2];
    let request = format!(
        "POST /{route}/x HTTP/1.1\r\nHost: seals.example\r\nX-Request-Id: {id}\r\nX-Model: m0\r\n\
         X-Token-Usage: 826,58\r\nX-Prefix-Hash: 5c1e07a2:119,91bd3f06:79,{id}:628\r\nX-Deadline-Ms: 4000\r\n\
         Authorization: Bearer key-one\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    record.line(&format!("client: sends {id}"));
    let mut client = Client::connect(front, Duration::from_secs(10))?;
    client.send(&request);
    let answer = client.read();
    match &answer {
        Some(answer) => record.line(&format!(
            "client: {id} gets {} with {} events, no length or chunks {}, complete {}",
            answer.status,
            events(answer),
            answer.unframed,
            answer.complete
        )),
        None => record.line(&format!("client: {id} gets no answer")),
    }
    answer
}

fn events(answer: &Answer) -> u64 {
    String::from_utf8_lossy(&answer.body).matches("\n\n").count() as u64
}

fn main() {
    run().unwrap_or(Outcome::NotRun).exit();
}

fn run() -> Option<Outcome> {
    let (folder, temporary) = folders();
    let record = Record::create(&folder.join("record.txt"));
    let store = Store::start(record.clone());
    store.put("op/config", &config(1, vec![tenant("one", "key-one", false)]));
    store.put("op/version/m0", &table([("Model", text("m0")), ("Version", number(1))]));
    for (id, zone) in [("i-a", "busan-a"), ("i-b", "ulsan-b")] {
        let engine = Engine::start(&store, &record, id, zone, 1);
        engine.set_answers(Answers { unframed_each: UNFRAMED_EACH, events: EVENTS, pause: PAUSE });
    }
    let fleet = Fleet::new(&temporary, store.address, 2);
    let members: Vec<Member> = (0..2).map(|index| fleet.start(index, true)).collect();
    if !eventually(PATIENCE, || members.iter().all(Member::is_ready)) {
        return None;
    }
    sleep(Duration::from_secs(1));
    let front = members[0].front;
    let clients: Vec<_> = (0..REQUESTS)
        .map(|index| {
            let record = record.clone();
            thread::spawn(move || ask(&record, front, index))
        })
        .collect();
    sleep(Duration::from_millis(1_250));
    if has_trouble() {
        record.line("platform: SIGKILL to edge-0");
        members[0].signal(SIGKILL);
    }
    let answers: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()?).collect();
    let is_success = |answer: &&Answer| answer.status == 200 && answer.complete;
    let whole = answers.iter().filter(is_success).filter(|answer| events(answer) == EVENTS).count();
    let short = answers.iter().filter(is_success).count() - whole;
    record.line(&format!(
        "check: {whole} whole answers; {short} successes look complete and aren't the worker's whole body"
    ));
    if !has_trouble() && whole != REQUESTS {
        return None;
    }
    record.line(&format!("MIXED is broken: {}", short > 0));
    Some(if short > 0 { Outcome::Broken } else { Outcome::Held })
}
