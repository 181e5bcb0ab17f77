//! An HTTP server with predefined JSON responses, such as a router's answers to operators.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use actix_web::{
    HttpRequest, HttpResponse,
    web::{self, Data},
};
use serde_json::Value;

use crate::serve::{LoopbackServer, any_port};

type AnswerTable = Mutex<BTreeMap<String, Value>>;

/// A server that returns the same JSON for each request to a path, and 404 for other paths.
#[derive(Debug)]
pub struct StubServer {
    answers: Arc<AnswerTable>,
    server: LoopbackServer,
}

impl StubServer {
    /// Starts a server without responses on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener can't be opened.
    pub fn start() -> io::Result<StubServer> {
        let answers = Arc::new(AnswerTable::default());
        let data = Data::from(Arc::clone(&answers));
        let server = LoopbackServer::start(any_port(), move |config| {
            config.app_data(data.clone()).default_service(web::to(answer));
        })?;
        Ok(StubServer { answers, server })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the response for `path`.
    pub fn set(&self, path: &str, answer: Value) {
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.insert(path.to_owned(), answer);
    }
}

async fn answer(request: HttpRequest, answers: Data<AnswerTable>) -> HttpResponse {
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    match answers.get(request.path()) {
        Some(answer) => HttpResponse::Ok().json(answer),
        None => HttpResponse::NotFound().finish(),
    }
}
