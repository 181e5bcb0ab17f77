//! Executes the calls to the key-value service.

use actix_web::HttpResponse;
use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_router::VmListing;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use super::{
    CallCounters, KeyValue, KvStore, PlatformFaults, StoreError,
    schema::{
        self, CompareCall, CompareResult, CompareTarget, DeleteCall, LeaseCall, OperationCall,
        PutCall, RangeCall, TxnCall,
    },
};

/// The mutable state of one platform, protected by one lock.
#[derive(Debug)]
pub(crate) struct PlatformCore {
    pub(crate) store: KvStore,
    pub(crate) faults: PlatformFaults,
    pub(crate) counters: CallCounters,
    pub(crate) vms: Vec<VmListing>,
}

/// An error response in the gateway's format.
pub(crate) struct CallError {
    status: u16,
    code: u32,
    message: String,
}

impl CallError {
    pub(crate) fn response(&self) -> HttpResponse {
        let status = actix_web::http::StatusCode::from_u16(self.status).unwrap_or_default();
        let body = json!({ "error": self.message, "code": self.code, "message": self.message });
        HttpResponse::build(status).json(body)
    }
}

impl From<StoreError> for CallError {
    fn from(error: StoreError) -> CallError {
        let (status, code) = match error {
            StoreError::TooLarge | StoreError::KeyEmpty => (400, 3),
            StoreError::LeaseNotFound => (404, 5),
            StoreError::LeaseExists => (400, 9),
            StoreError::Compacted => (400, 11),
        };
        CallError { status, code, message: error.to_string() }
    }
}

pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|error| CallError {
        status: 400,
        code: 3,
        message: error.to_string(),
    })
}

impl PlatformCore {
    pub(crate) fn new() -> PlatformCore {
        PlatformCore {
            store: KvStore::new(),
            faults: PlatformFaults::default(),
            counters: CallCounters::default(),
            vms: Vec::new(),
        }
    }

    /// Returns whether the answer to the current write must be dropped, and decrements the number of answers to drop.
    pub(crate) fn take_lost_answer_fault(&mut self) -> bool {
        let lost = self.faults.lose_answers > 0;
        self.faults.lose_answers = self.faults.lose_answers.saturating_sub(1);
        lost
    }

    /// Executes the unary call `name` and returns the response body.
    pub(crate) fn call(
        &mut self,
        now: ClockTime,
        name: &str,
        body: &[u8],
    ) -> Result<Value, CallError> {
        self.counters.bytes_in += body.len() as u64;
        match name {
            "range" => {
                self.counters.range += 1;
                Ok(self.with_header(self.range(parse(body)?)))
            }
            "put" => {
                self.counters.put += 1;
                let call: PutCall = parse(body)?;
                self.store.put(&call.key.0, call.value.0, call.lease)?;
                Ok(self.with_header(json!({})))
            }
            "deleterange" => {
                self.counters.delete_range += 1;
                let call: DeleteCall = parse(body)?;
                let revision = self.store.next_revision();
                let deleted = self.store.delete_at(revision, &call.into());
                Ok(self.with_header(json!({ "deleted": deleted.to_string() })))
            }
            "txn" => {
                self.counters.txn += 1;
                self.txn(parse(body)?)
            }
            "grant" | "keepalive" | "revoke" => self.lease_call(now, name, parse(body)?),
            _ => Err(CallError { status: 404, code: 5, message: "Not Found".into() }),
        }
    }

    fn lease_call(
        &mut self,
        now: ClockTime,
        name: &str,
        call: LeaseCall,
    ) -> Result<Value, CallError> {
        match name {
            "grant" => {
                self.counters.lease_grant += 1;
                let ttl = ClockSpan::from_secs(call.ttl.max(1) as u64);
                let id = self.store.grant(now, call.id, ttl)?;
                let ttl = (ttl.as_ms() / 1_000).to_string();
                Ok(self.with_header(json!({ "ID": id.to_string(), "TTL": ttl })))
            }
            "keepalive" => {
                self.counters.lease_keepalive += 1;
                let mut answer = json!({ "ID": call.id.to_string() });
                if let Some(ttl) = self.store.keep_alive(now, call.id) {
                    answer["TTL"] = (ttl.as_ms() / 1_000).to_string().into();
                }
                Ok(json!({ "result": self.with_header(answer) }))
            }
            _ => {
                self.counters.lease_revoke += 1;
                self.store.revoke(call.id)?;
                Ok(self.with_header(json!({})))
            }
        }
    }

    fn with_header(&self, mut answer: Value) -> Value {
        answer["header"] = schema::header(self.store.revision());
        answer
    }

    fn range(&self, call: RangeCall) -> Value {
        let (limit, keys_only, count_only) = (call.limit, call.keys_only, call.count_only);
        let range = call.into();
        let count = self.store.range(&range).count();
        let limit = if limit > 0 { limit as usize } else { count };
        let mut answer = json!({});
        if !count_only && count > 0 {
            let entries = self.store.range(&range).take(limit);
            let items = entries.map(|entry| schema::key_value(entry, keys_only));
            answer["kvs"] = items.collect();
        }
        if count > limit {
            answer["more"] = true.into();
        }
        if count > 0 {
            answer["count"] = count.to_string().into();
        }
        answer
    }

    fn txn(&mut self, call: TxnCall) -> Result<Value, CallError> {
        let succeeded = call.compare.iter().all(|compare| self.compare_holds(compare));
        let operations = if succeeded { call.success } else { call.failure };
        // All writes are checked first, because a transaction is atomic: it takes effect completely or not at all.
        for operation in &operations {
            if let OperationCall::Put(put) = operation {
                self.store.check_put(&put.key.0, &put.value.0, put.lease)?;
            }
        }
        let revision = self.store.next_revision();
        let mut responses = Vec::new();
        for operation in operations {
            let (kind, answer) = match operation {
                OperationCall::Range(call) => ("response_range", self.range(call)),
                OperationCall::Put(call) => {
                    self.store.put_at(revision, &call.key.0, call.value.0, call.lease)?;
                    ("response_put", json!({}))
                }
                OperationCall::Delete(call) => {
                    let deleted = self.store.delete_at(revision, &call.into());
                    ("response_delete_range", json!({ "deleted": deleted.to_string() }))
                }
            };
            responses.push(json!({ kind: self.with_header(answer) }));
        }
        let mut answer = json!({ "responses": responses });
        if succeeded {
            answer["succeeded"] = true.into();
        }
        Ok(self.with_header(answer))
    }

    fn compare_holds(&self, compare: &CompareCall) -> bool {
        let entry = self.store.get(&compare.key.0);
        let number = |field: fn(&KeyValue) -> i64| entry.map_or(0, field);
        let order = match compare.target {
            CompareTarget::Version => number(|entry| entry.version as i64).cmp(&compare.version),
            CompareTarget::Create => {
                number(|entry| entry.create_revision as i64).cmp(&compare.create_revision)
            }
            CompareTarget::Mod => {
                number(|entry| entry.mod_revision as i64).cmp(&compare.mod_revision)
            }
            CompareTarget::Lease => number(|entry| entry.lease).cmp(&compare.lease),
            // In the service, a comparison with the value of a missing key fails.
            CompareTarget::Value => match entry {
                Some(entry) => entry.value.cmp(&compare.value.0),
                None => return false,
            },
        };
        match compare.result {
            CompareResult::Equal => order.is_eq(),
            CompareResult::Greater => order.is_gt(),
            CompareResult::Less => order.is_lt(),
            CompareResult::NotEqual => order.is_ne(),
        }
    }
}
