//! The plain service counts runs and injects faults.

use awc::Client;
use godwitroad_standin::{PlainFault, PlainServer};
use yare::parameterized;

// Guards against a wrong count of runs: a request whose answer is lost counts as run, a request that was lost doesn't.
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
