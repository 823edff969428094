//! The instance list and the weight store.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use egretgate_fakes::instances::{Instance, Instances};
use egretgate_fakes::weights::Weights;
use egretgate_platform::{Error, InstanceClient, InstanceState, Reservation, WeightClient};

const TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::test]
async fn changes_are_listed_after_the_lag() {
    let list = Instances::start().await.unwrap();
    let client = InstanceClient::new(list.address(), TIMEOUT);
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let states = async || {
        let listed = client.list().await.unwrap();
        listed.into_iter().map(|instance| (instance.name, instance.state)).collect::<Vec<_>>()
    };
    list.set(Instance::new("a", "olinda", "forecast-llm", address));
    list.set(Instance::new("b", "olinda", "forecast-llm", address));
    let live = |name: &str| (name.to_owned(), InstanceState::Live);
    assert_eq!(states().await, [live("a"), live("b")]);
    list.set_lag(Duration::from_hours(1));
    list.leave("a");
    list.remove("b");
    assert_eq!(states().await, [live("a"), live("b")]);
    list.set_lag(Duration::ZERO);
    assert_eq!(states().await, [("a".to_owned(), InstanceState::Leaving)]);
}

#[tokio::test]
async fn an_outage_of_the_list_is_an_error() {
    let list = Instances::start().await.unwrap();
    let client = InstanceClient::new(list.address(), TIMEOUT);
    list.set_outage(true);
    assert_matches!(client.list().await, Err(Error::Unknown(_)));
    list.set_outage(false);
    assert_eq!(client.list().await, Ok(Vec::new()));
}

#[tokio::test]
async fn loads_over_the_rate_wait() {
    let store = Weights::start(Duration::from_hours(1), 2).await.unwrap();
    let client = WeightClient::new(store.address(), TIMEOUT);
    for _ in 0..2 {
        assert_eq!(client.reserve("v2").await, Ok(Reservation::Granted));
    }
    assert_matches!(client.reserve("v2").await, Ok(Reservation::Wait(wait)) if !wait.is_zero());
    assert_eq!((store.granted(), store.refused()), (2, 1));
}
