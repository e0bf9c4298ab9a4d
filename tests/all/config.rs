//! A change of configuration, from an operator to every VM and on to another
//! environment.

use std::time::Duration;

use briarshift::demo::local_fleet::DATA_CENTRES;
use briarshift::demo::provision::ENVIRONMENT;
use briarshift_environment::{Clock, Environment, Operator, Report};
use briarshift_store::http::Client;
use briarshift_store::{Operation, Reply};
use briarshift_units::{Digest, Revision, Span, WallTime};
use futures::future::{FutureExt, LocalBoxFuture};

use crate::fleet::{Fleet, engines, until};

/// Time after which only delegates watch: the others have the change from them.
const FIRST_WATCH: Duration = Duration::from_secs(3);

/// The system's time.
struct System;

impl Clock for System {
    fn now(&self) -> WallTime {
        let since = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap();
        WallTime(u64::try_from(since.as_millis()).unwrap())
    }

    fn sleep(&self, span: Span) -> LocalBoxFuture<'_, ()> {
        tokio::time::sleep(Duration::from(span)).boxed_local()
    }
}

/// Whether all VMs were reported to run a digest.
fn running(fleet: &Fleet, environment: &Environment, digest: Digest) -> bool {
    let list = Operation::List { prefix: environment.report_prefix() };
    let Ok(Reply::Values(entries)) = fleet.platform.execute(list) else { return false };
    let reports = entries.iter().map(|entry| serde_json::from_str(&entry.value).unwrap());
    let whole = reports.filter(|report: &Report| report.is_in_force_everywhere(digest));
    whole.map(|report| report.in_force).sum::<u32>() as usize == fleet.vms.len()
}

#[actix_rt::test]
async fn a_change_reaches_every_vm_and_is_promoted() {
    let fleet = Fleet::start(2 * DATA_CENTRES.len(), engines(1, 5, Duration::ZERO), 1).await;
    let client = Client::new(&fleet.platform.url(), Span::from_secs(5));
    let operator = Operator::new(&client, &System, "asha");
    let environment: Environment = ENVIRONMENT.parse().unwrap();
    let production = Environment::default();
    tokio::time::sleep(FIRST_WATCH).await;
    let old = operator.show(&environment).await.unwrap();
    let text = format!("{}\n", old.text);
    operator.put(&environment, old.revision, &text).await.unwrap();
    let stored = operator.show(&environment).await.unwrap();
    until("every VM runs the change", || running(&fleet, &environment, stored.digest())).await;
    operator.promote(&environment, &production, Revision(0)).await.unwrap();
    assert_eq!(operator.show(&production).await.unwrap().text, stored.text);
}
