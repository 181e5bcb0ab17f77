//! Metrics, traces and TLS.
#![allow(clippy::unwrap_used, reason = "helpers of tests fail the test by a panic")]

mod support;

use std::{
    io::{Read, Write},
    net::{TcpStream, UdpSocket},
    sync::Arc,
};

use godwitroad_base::ClockSpan;
use godwitroad_daemon::{
    app,
    settings::{DaemonSettings, TlsSettings},
};
use rcgen::generate_simple_self_signed;
use rustls::{
    ClientConfig, ClientConnection, RootCertStore, StreamOwned,
    crypto::aws_lc_rs,
    pki_types::{CertificateDer, ServerName},
};
use support::{KEY, Step, TestTarget, answer, chat, document, head, post, settings};

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";

/// Guards against changed metric names, and against a key that leaks into metrics.
#[test]
fn counters_are_sent_by_their_stable_names() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let target = TestTarget::start(|_| vec![Step::Write(answer(&["a"]))]);
    let settings = DaemonSettings { metrics_address: socket.local_addr().ok(), ..settings() };
    let options = support::options(settings, Some(document(&[target.address], &[])));
    let daemon = app::start(options).unwrap();
    while support::get(daemon.operator_address(), "/readyz").status != 200 {}
    post(daemon.caller_address(), "/v1/chat/completions", "", &chat(true));
    post(daemon.caller_address(), "/elsewhere", "", "");
    daemon.stop();
    daemon.wait().unwrap();
    let mut seen = String::new();
    let mut buffer = [0; 2_048];
    for name in [
        "caller.requests:1|c",
        "caller.errors.route_unknown:1|c",
        "caller.first_part_us:",
        "target.attempts:1|c",
        "caller.ended:1|c",
    ] {
        while !seen.contains(&format!("godwitroad.{name}")) {
            let size = socket.recv(&mut buffer).unwrap();
            seen.push_str(std::str::from_utf8(&buffer[..size]).unwrap());
            seen.push('\n');
        }
    }
    assert!(!seen.contains(KEY));
}

/// Guards against a trace that ends at the router, with and without an exporter, and against a key in a trace.
#[test]
fn a_trace_is_passed_on_and_exported() {
    let collector = TestTarget::start(|_| vec![Step::Write(head(200, "content-length: 0\r\n"))]);
    for address in [None, Some(format!("http://{}", collector.address))] {
        let target = TestTarget::start(|_| vec![Step::Write(answer(&["a"]))]);
        let exports = address.is_some();
        let settings = DaemonSettings { otlp_address: address, ..settings() };
        let daemon =
            app::start(support::options(settings, Some(document(&[target.address], &[])))).unwrap();
        while support::get(daemon.operator_address(), "/readyz").status != 200 {}
        let parent = format!("traceparent: 00-{TRACE}-b7ad6b7169203331-01\r\n");
        post(daemon.caller_address(), "/v1/chat/completions", &parent, &chat(true));
        let seen =
            target.requests().into_iter().find(|seen| seen.head.starts_with("POST")).unwrap();
        let passed = seen.header("traceparent").unwrap();
        assert!(passed.starts_with(&format!("00-{TRACE}-")) && passed.ends_with("-01"), "{passed}");
        assert!(!passed.contains("b7ad6b7169203331"));
        daemon.stop();
        daemon.wait().unwrap();
        let exported = collector.requests();
        assert_eq!(!exported.is_empty(), exports);
        assert!(
            exported.iter().all(|seen| seen.head.starts_with("POST /v1/traces ")
                && !seen.head_and_body().contains(KEY))
        );
        if exports {
            let bodies: String = exported.iter().map(|seen| seen.body.as_str()).collect();
            assert!(bodies.contains("attempt") && bodies.contains("request.id"));
        }
    }
}

/// Returns the response to a TLS request if the server presents `certificate`, or `None` otherwise.
fn get_by_tls(
    address: std::net::SocketAddr,
    certificate: &CertificateDer<'static>,
) -> Option<String> {
    let mut roots = RootCertStore::empty();
    roots.add(certificate.clone()).unwrap();
    let config = ClientConfig::builder_with_provider(Arc::new(aws_lc_rs::default_provider()))
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = ServerName::try_from("localhost").unwrap();
    let connection = ClientConnection::new(Arc::new(config), name).unwrap();
    let mut stream = StreamOwned::new(connection, TcpStream::connect(address).unwrap());
    stream
        .write_all(b"GET /healthz HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n")
        .ok()?;
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    Some(String::from_utf8(text).unwrap())
}

/// Guards against a renewed certificate that requires a restart, and against a partly written one that disables TLS.
#[test]
fn a_certificate_is_renewed_without_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let tls = TlsSettings {
        certificate: folder.path().join("chain.pem"),
        key: folder.path().join("key.pem"),
        reload_interval: ClockSpan::from_ms(10),
    };
    let write = || {
        let made = generate_simple_self_signed(["localhost".to_string()]).unwrap();
        std::fs::write(&tls.key, made.signing_key.serialize_pem()).unwrap();
        std::fs::write(&tls.certificate, made.cert.pem()).unwrap();
        made.cert.der().clone()
    };
    let first = write();
    let settings = DaemonSettings { tls: Some(tls.clone()), ..settings() };
    let daemon = app::start(support::options(settings, Some(document(&[], &[])))).unwrap();
    assert!(get_by_tls(daemon.caller_address(), &first).unwrap().starts_with("HTTP/1.1 200"));
    std::fs::write(&tls.certificate, "half a certificate").unwrap();
    assert!(get_by_tls(daemon.caller_address(), &first).is_some());
    let second = write();
    while get_by_tls(daemon.caller_address(), &second).is_none() {}
    assert!(get_by_tls(daemon.caller_address(), &first).is_none());
}
