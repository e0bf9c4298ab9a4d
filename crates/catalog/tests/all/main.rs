//! Tests of the lookup of routes and accounts.

use briarshift_catalog::{Account, Catalog, Route};
use briarshift_units::Revision;
use proptest::prelude::prop;
use proptest::proptest;

fn route(prefix: &str) -> Route {
    Route::builder(prefix, "a.example", prefix).pool("desk".parse().unwrap(), 1).build()
}

#[test]
fn accounts_are_found_by_any_of_their_keys() {
    let account =
        Account { id: "bakery".parse().unwrap(), name: "bakery".into(), priority: Some(2) };
    let catalog =
        Catalog::builder(Revision(1)).account(account, ["k-1".into(), "k-2".into()]).build();
    assert!(catalog.requires_keys());
    assert_eq!(catalog.account_by_key("k-2").unwrap().id.as_str(), "bakery");
    assert!(catalog.account_by_key("k-3").is_none());
}

proptest! {
    /// The route found has the longest of all prefixes of the path.
    #[test]
    fn the_longest_prefix_is_found(
        prefixes in prop::collection::btree_set("/([ab]/){0,4}", 1..8),
        path in "/[ab/]{0,10}",
    ) {
        let mut builder = Catalog::builder(Revision(1));
        for prefix in &prefixes {
            builder = builder.route(route(prefix));
        }
        let catalog = builder.build();
        let expected = prefixes.iter().filter(|prefix| path.starts_with(prefix.as_str()));
        let expected = expected.max_by_key(|prefix| prefix.len()).map(String::as_str);
        let found = catalog.find_route("A.Example:8080", &path).map(|route| route.prefix.as_str());
        assert_eq!(found, expected);
    }
}
