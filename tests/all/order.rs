//! Orders to engines, from VM processes.

use briarshift::demo::plan::{self, ENVIRONMENT, MODEL};
use briarshift::demo::site;
use briarshift_settings::Orders;
use briarshift_standin::engine;
use briarshift_target::LoadReport;
use briarshift_units::ModelId;

use crate::fleet::{Fleet, until};

/// An engine that holds a model which the document does not know.
fn engine(checks_fencing: bool) -> engine::Server {
    let models = vec!["retired-1".parse().unwrap()];
    let settings = engine::Builder::new().models(models).check_fencing(checks_fencing);
    engine::Server::start(settings.build()).unwrap()
}

#[actix_rt::test]
async fn engines_of_both_kinds_come_to_hold_the_documents_model() {
    let fleet = Fleet::start(2, vec![engine(true), engine(false)], 0).await;
    let mut document = plan::document();
    for pool in &mut document.pools {
        pool.orders = Some(Orders { models_per_engine: 1, loads_at_once: 1 });
    }
    site::publish(&fleet.platform.url(), ENVIRONMENT, &document).await.unwrap();
    let wanted: Vec<ModelId> = vec![MODEL.parse().unwrap()];
    let reports = || fleet.engines.iter().map(engine::Server::load_report);
    until("both engines hold the model", || reports().all(|report| report.models == wanted)).await;
    let fencing: Vec<_> = reports().map(|LoadReport { fencing, .. }| fencing.is_some()).collect();
    assert_eq!(fencing, [true, false]);
    for engine in &fleet.engines {
        let received = engine.received_orders();
        assert!(received.iter().all(|row| row.obeyed));
        assert!(received.is_sorted_by_key(|row| row.order.fencing));
    }
}
