//! An operator's configuration change reaches every VM and is promoted to another environment.

use std::time::Duration;

use briarshift::demo::local_fleet::DATA_CENTRES;
use briarshift::demo::provision::ENVIRONMENT;
use briarshift_environment::{Clock, Environment, Operator, Report};
use briarshift_store::http::Client;
use briarshift_store::{Operation, Reply};
use briarshift_units::{Digest, Revision, Span, WallTime};
use futures::future::{FutureExt, LocalBoxFuture};

use crate::fleet::{Fleet, engines, until};

/// Time to wait before the change. After it only the delegates watch the store, and the other VMs
/// get the change from them.
const WATCH_DELAY: Duration = Duration::from_secs(3);

/// The system clock.
struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> WallTime {
        let since_epoch = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap();
        WallTime(u64::try_from(since_epoch.as_millis()).unwrap())
    }

    fn sleep(&self, span: Span) -> LocalBoxFuture<'_, ()> {
        tokio::time::sleep(Duration::from(span)).boxed_local()
    }
}

/// Returns true if the stored reports say that all VMs run the document with this digest.
fn runs_on_all_vms(fleet: &Fleet, environment: &Environment, digest: Digest) -> bool {
    let operation = Operation::List { prefix: environment.report_prefix() };
    let Ok(Reply::Values(entries)) = fleet.platform.execute(operation) else { return false };
    let reports = entries.iter().map(|entry| serde_json::from_str(&entry.value).unwrap());
    let matching = reports.filter(|report: &Report| report.is_in_force_everywhere(digest));
    matching.map(|report| report.in_force).sum::<u32>() as usize == fleet.vms.len()
}

#[actix_rt::test]
async fn change_reaches_every_vm_and_is_promoted() {
    let fleet = Fleet::start(2 * DATA_CENTRES.len(), engines(1, 5, Duration::ZERO), 1).await;
    let client = Client::new(&fleet.platform.url(), Span::from_secs(5));
    let operator = Operator::new(&client, &SystemClock, "asha");
    let environment: Environment = ENVIRONMENT.parse().unwrap();
    let production = Environment::default();
    tokio::time::sleep(WATCH_DELAY).await;
    let old = operator.show(&environment).await.unwrap();
    let text = format!("{}\n", old.text);
    operator.put(&environment, old.revision, &text).await.unwrap();
    let stored = operator.show(&environment).await.unwrap();
    until("every VM runs the change", || runs_on_all_vms(&fleet, &environment, stored.digest()))
        .await;
    operator.promote(&environment, &production, Revision(0)).await.unwrap();
    assert_eq!(operator.show(&production).await.unwrap().text, stored.text);
}
