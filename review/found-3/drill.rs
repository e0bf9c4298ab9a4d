use crate::common::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
fn cfg(v: u64, keys: &str) -> String {
    format!(
        r#"{{"version":{v},"routes":[{{"name":"r-a","host":"{HOST}","prefix":"/a/","route-type":"unsafe","timeout-ms":1000,"target-latency-ms":100,"priority":1,"service":"desk","max-attempts":1,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"desk","health-path":"/healthz","max-connections":96,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"hule930","api-keys":[{keys}],"priority":1}}]}}"#
    )
}
fn send(a: std::net::SocketAddr, key: &str, att: &str) -> u16 {
    let go = || -> std::io::Result<u16> {
        let mut s = TcpStream::connect(a)?;
        s.set_read_timeout(Some(Duration::from_secs(2)))?;
        s.write_all(format!("POST /a/x HTTP/1.1\r\nHost: {HOST}\r\nX-Briarshift-Attempt-Id: {att}\r\nX-Briarshift-Deadline-Ms: 1000\r\nAuthorization: Token {key}\r\nContent-Length: 2\r\n\r\nhi").as_bytes())?;
        Ok(read_head(&mut BufReader::new(s))?.map_or(0, |m| m.status()))
    };
    go().unwrap_or(0)
}
pub fn run(record: &Record) -> Result<bool, String> {
    let rewrite_ms: u64 =
        std::env::var("REWRITE").ok().and_then(|x| x.parse().ok()).unwrap_or(1500);
    let restart: usize = std::env::var("RESTART").ok().and_then(|x| x.parse().ok()).unwrap_or(1);
    let (store, address) = Store::start();
    store.put("op/config", &cfg(9, "\"k0\",\"x\""));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for id in ["i-desk1", "i-desk2"] {
        let own = runs.clone();
        start_runner(&store, id, "desk", 60, move |rq, st| {
            own.lock().unwrap().push(rq.header("x-briarshift-attempt-id").to_owned());
            respond(st, 200, &seal(id, rq), b"x")?;
            Ok(true)
        });
    }
    let folder = Folder::create();
    let mut gws: Vec<Gateway> = Vec::new();
    for n in 0..3 {
        gws.push(Gateway::start(folder.path(), &format!("front-{n}"), address, &BRUGGER)?);
    }
    thread::sleep(Duration::from_secs(6));
    store.copy();
    thread::sleep(Duration::from_millis(500));
    store.put("op/config", &cfg(11, "\"k1\",\"x\""));
    let ack = Instant::now();
    thread::sleep(Duration::from_millis(2500));
    store.down(true);
    thread::sleep(Duration::from_millis(800));
    store.restore();
    let back = Instant::now();
    record.line("back from the copy");
    let restart_at: u64 = std::env::var("AT").ok().and_then(|x| x.parse().ok()).unwrap_or(200);
    let mut starting = Vec::new();
    for n in 0..restart {
        gws[n].signal(SIGKILL);
    }
    thread::sleep(Duration::from_millis(restart_at));
    let path = folder.path().to_owned();
    for n in 0..restart {
        let path = path.clone();
        let rec = record.clone();
        starting.push((
            n,
            thread::spawn(move || {
                let g = Gateway::start(&path, &format!("front-{n}"), address, &BRUGGER);
                rec.line(format!("front-{n} ready {}", g.is_ok()));
                g
            }),
        ));
    }
    let mut written = false;
    let mut late = Vec::new();
    let mut count = std::collections::BTreeMap::<String, u32>::new();
    while ack.elapsed() < Duration::from_secs(16) {
        let mut i = 0;
        while i < starting.len() {
            if starting[i].1.is_finished() {
                let (n, h) = starting.remove(i);
                if let Ok(Ok(g)) = h.join() {
                    gws[n] = g;
                }
            } else {
                i += 1;
            }
        }
        if !written && Duration::from_millis(rewrite_ms) < back.elapsed() {
            store.put("op/config", &cfg(11, "\"k1\",\"x\""));
            written = true;
            record.line("version 11 written again");
        }
        for (n, g) in gws.iter().enumerate() {
            for key in ["k0", "k1"] {
                let att = new_attempt();
                let st = send(g.caller, key, &att);
                let phase = if ack.elapsed() < Duration::from_secs(5) { "early" } else { "late" };
                *count.entry(format!("{phase} {key} front-{n} {st}")).or_default() += 1;
                if key == "k0" && Duration::from_millis(5000) < ack.elapsed() {
                    if st == 200 {
                        record.line(format!(
                            "k0 served by front-{n} {:.2} s after the return",
                            back.elapsed().as_secs_f64()
                        ));
                    }
                    late.push(att);
                }
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    let runs = runs.lock().unwrap();
    let bad = late.iter().filter(|a| runs.contains(a)).count();
    for (k, v) in count {
        record.line(format!("{k}: {v}"));
    }
    record.line(format!("{} with the taken key, {bad} ran", late.len()));
    Ok(bad == 0)
}
