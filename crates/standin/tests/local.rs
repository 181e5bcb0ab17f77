//! The whole fleet in one process.

use godwitroad_standin::local::{LocalFleet, sample_calls};

// Guards against a part that works alone but not with the others: each printed call must work as printed, and a
// planned stop must end.
#[actix_rt::test]
async fn sample_calls_work() {
    let fleet = LocalFleet::start().await.unwrap();
    for call in sample_calls(&fleet) {
        let result = call.make(&fleet).await;
        assert_eq!(result.failure, None, "{}\n{}", result.name, call.curl_line());
    }
    fleet.stop().await.unwrap();
}
