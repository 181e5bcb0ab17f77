//! Runs the complete fleet in one process.

use godwitroad_standin::local::{LocalFleet, sample_calls};

// Guards against components that work alone but not together: each printed call must succeed, and a graceful stop must
// complete.
#[actix_rt::test]
async fn sample_calls_work() {
    let fleet = LocalFleet::start().await.unwrap();
    for call in sample_calls(&fleet) {
        let result = call.run(&fleet).await;
        assert_eq!(result.failure, None, "{}\n{}", result.name, call.curl_line());
    }
    fleet.stop().await.unwrap();
}
