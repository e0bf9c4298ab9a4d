//! VMs order engines to load and unload models.

use briarshift::demo::local_fleet;
use briarshift::demo::provision::{self, ENVIRONMENT, MODEL};
use briarshift_settings::Orders;
use briarshift_standin::engine;
use briarshift_target::LoadReport;
use briarshift_units::ModelId;

use crate::fleet::{Fleet, until};

/// Starts an engine that has loaded a model which the document doesn't contain.
fn start_engine(checks_fencing: bool) -> engine::Server {
    let models = vec!["retired-1".parse().unwrap()];
    let settings = engine::Builder::new().models(models).check_fencing(checks_fencing);
    engine::Server::start(settings.build()).unwrap()
}

#[actix_rt::test]
async fn engines_with_and_without_fencing_load_the_ordered_model() {
    let fleet = Fleet::start(2, vec![start_engine(true), start_engine(false)], 0).await;
    let mut document = provision::document();
    for pool in &mut document.pools {
        pool.orders = Some(Orders { models_per_engine: 1, loads_at_once: 1 });
    }
    local_fleet::publish(&fleet.platform.url(), ENVIRONMENT, &document).await.unwrap();
    let desired_models: Vec<ModelId> = vec![MODEL.parse().unwrap()];
    let reports = || fleet.engines.iter().map(engine::Server::load_report);
    until("both engines have loaded only the document's model", || {
        reports().all(|report| report.models == desired_models)
    })
    .await;
    let has_fencing: Vec<_> =
        reports().map(|LoadReport { fencing, .. }| fencing.is_some()).collect();
    assert_eq!(has_fencing, [true, false]);
    for engine in &fleet.engines {
        let received = engine.received_orders();
        assert!(received.iter().all(|row| row.obeyed));
        assert!(received.is_sorted_by_key(|row| row.order.fencing));
    }
}
