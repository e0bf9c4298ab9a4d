//! The operator takes the last tenant, and so its keys, out of the configuration.

use std::io::{BufReader, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::has_trouble;

/// `revoke-ms` of the site.
const REVOKE: Duration = Duration::from_millis(5_000);
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// A key that no configuration ever held.
const UNKNOWN_KEY: &str = "zzzz9876zzzz5432zzzz";

fn config(version: u32, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-book","host":"{HOST}","prefix":"/book/","route-type":"unsafe","timeout-ms":1000,"target-latency-ms":100,"priority":1,"service":"desk","max-attempts":1,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"desk","health-path":"/healthz","max-connections":96,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{tenants}]}}"#
    )
}

/// A request that a runner ran: its attempt and its tenant.
type Runs = Arc<Mutex<Vec<(String, String)>>>;

fn book(caller: std::net::SocketAddr, key: &str, attempt: &str) -> std::io::Result<u16> {
    let mut stream = std::net::TcpStream::connect(caller)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    stream.write_all(
        format!("POST /book/a HTTP/1.1\r\nHost: {HOST}\r\nX-Briarshift-Attempt-Id: {attempt}\r\nX-Briarshift-Deadline-Ms: 1000\r\nAuthorization: Token {key}\r\nContent-Length: 5\r\n\r\norder").as_bytes(),
    )?;
    Ok(read_head(&mut BufReader::new(stream))?.map_or(0, |it| it.status()))
}

pub fn run(record: &Record) -> Result<bool, String> {
    let (store, address) = Store::start();
    let tenant = format!(r#"{{"name":"hule930","api-keys":["{KEY}"],"priority":1}}"#);
    store.put("op/config", &config(7, &tenant));
    let runs = Runs::default();
    for id in ["i-desk1", "i-desk2"] {
        let (record, runs) = (record.clone(), Arc::clone(&runs));
        start_runner(&store, id, "desk", 6, move |request, stream| {
            let attempt = request.header("x-briarshift-attempt-id").to_owned();
            let tenant = request.header("x-briarshift-tenant").to_owned();
            record.line(format!("run attempt={attempt} runner={id} tenant={tenant:?}"));
            runs.lock().unwrap().push((attempt, tenant));
            thread::sleep(Duration::from_millis(15));
            respond(stream, 200, &seal(id, request), &[b'd'; 800])?;
            Ok(true)
        });
    }
    let folder = Folder::create();
    let gateway = Gateway::start(folder.path(), "front-1", address, &BRUGGER)?;
    let start = Instant::now();
    let mut acknowledged: Option<Instant> = None;
    let (mut revoked, mut unknown, mut served) = (Vec::new(), Vec::new(), 0);
    while start.elapsed() < Duration::from_secs(12) {
        if has_trouble() && acknowledged.is_none() && Duration::from_secs(2) < start.elapsed() {
            store.put("op/config", &config(9, ""));
            acknowledged = Some(Instant::now());
            record.line("version 9 without the tenant is acknowledged");
        }
        for key in [KEY, UNKNOWN_KEY] {
            let attempt = new_attempt();
            let since = acknowledged.map(|at| at.elapsed());
            let status = book(gateway.caller, key, &attempt);
            record.line(format!("sent attempt={attempt} key={key} answer={status:?}"));
            served += usize::from(key == KEY && since.is_none() && matches!(status, Ok(200)));
            if key == KEY && since.is_some_and(|since| REVOKE < since) {
                revoked.push(attempt.clone());
            }
            if key == UNKNOWN_KEY {
                unknown.push(attempt);
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    if served == 0 {
        return Err("no request was served with the key before the change".into());
    }
    let runs = runs.lock().unwrap();
    let ran = |sent: &[String]| runs.iter().filter(|(attempt, _)| sent.contains(attempt)).count();
    let (revoked, unknown) = (ran(&revoked), ran(&unknown));
    record.line(format!("CONFIG: {revoked} requests with the revoked key ran, sent later than revoke-ms after the acknowledgement"));
    record.line(format!("ROUTE: {unknown} requests ran whose key no configuration ever held"));
    Ok(revoked == 0 && unknown == 0)
}
