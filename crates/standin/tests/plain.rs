//! The plain service counts runs and fails on request.

use awc::Client;
use godwitroad_standin::{PlainFault, PlainServer};
use yare::parameterized;

// Guards against a count that differs from what happened: a lost answer must count, a lost request must not.
#[parameterized(
    healthy = { None, true, 1 },
    die_before = { Some(PlainFault::DieBefore), false, 0 },
    die_after = { Some(PlainFault::DieAfter), false, 1 },
    late = { Some(PlainFault::Late { ms: 20 }), true, 1 },
)]
fn runs_are_counted(fault: Option<PlainFault>, answered: bool, runs: u32) {
    actix_rt::System::new().block_on(async move {
        let service = PlainServer::start("registry").unwrap();
        service.push_faults(fault);
        let url = format!("http://{}/seals", service.address());
        let response = Client::default().post(url).send_body("seal 7").await;
        assert_eq!(response.is_ok(), answered);
        assert_eq!(service.runs("seal 7"), runs);
    });
}
